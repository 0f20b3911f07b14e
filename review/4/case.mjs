/**
 * The operator sends a configuration with a number that the system cannot hold. Afterwards the configuration that was
 * acknowledged before is read back, and the state of a job that was accepted before is asked for.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { call } from '../harness-2/http.mjs'
import { createConfiguration, createJobId, createRoute, host } from '../harness-2/configuration.mjs'
import { expectStatus, runCase } from '../harness-2/runCase.mjs'

const key = 'key-of-tenant-a'
const usualLatency = '1000'
/** The largest integer of 64 bits, as a tool may write it for "no limit". */
const hugeLatency = '9223372036854775807'
/** `recovery-s` is 15. */
const recoveryMs = 16_000
/** The operator reads back for at least `contact-ms`, which is 4 s. */
const readBackMs = 10_000

await runCase({
  deployment: { controls: 3, entries: 1, maxHoldMs: 10_000 },
  play: async ({ deployment, note, hasTrouble, startWorkers }) => {
    const put = async (text) => {
      const answer = await deployment.operate({
        method: 'PUT',
        path: '/config',
        text,
        forMs: 10_000,
      })
      note(`operator sends ${text.slice(0, 60)}...: answered ${answer.status}`)
      return answer
    }
    const first = createConfiguration({ version: 1 })
    expectStatus('the first configuration', await put(JSON.stringify(first)), 200)
    await startWorkers(2)
    await sleep(3000)

    const jobId = createJobId()
    const path = `/queue-a/${jobId}`
    const json = {
      spec: '{"ms":8000,"gpu":1}',
      steps: [{ count: 1, cpu: 4000, 'mem-mb': 1024, gpu: 1, 'est-runtime-ms': 8000 }],
    }
    const accepted = await deployment.call({ method: 'POST', path, host, key, json })
    note(`client hands in job ${jobId}: answered ${accepted.status}`)
    expectStatus('the job', accepted, 200)

    const routes = [createRoute('queue-a', '/queue-a/')]
    const next = JSON.stringify(createConfiguration({ version: 2, routes }))
    const latency = hasTrouble ? hugeLatency : usualLatency
    const written = next.replace('"target-latency-ms":1000', `"target-latency-ms":${latency}`)
    note(`version 2 has target-latency-ms ${latency}`)
    await put(written)
    await sleep(recoveryMs)

    let configurations = 0
    let states = 0
    const endMs = Date.now() + readBackMs
    while (Date.now() < endMs) {
      for (const address of deployment.controlAddresses) {
        const read = await call({ address, method: 'GET', path: '/config' })
        note(`operator reads /config at ${address}: ${read.status} ${read.body?.version ?? ''}`)
        if (read.status === 200) configurations += 1
      }
      const state = await deployment.call({ method: 'GET', path, host, key })
      note(`client asks for job ${jobId}: ${state.status} ${JSON.stringify(state.body ?? '')}`)
      if (state.status === 200) states += 1
      await sleep(500)
    }
    note(`configuration read ${configurations} times, job's state ${states} times`)
    const running = deployment.controls.filter(({ isRunning }) => isRunning).length
    note(`control processes that run: ${running} of ${deployment.controls.length}`)
    return configurations === 0 || states === 0 ? 'broken' : 'held'
  },
})
