/**
 * A worker crashes a second after each of its starts, some times in a row, and stays up from then on. A job needs its
 * label; the job's task never fails. The job's state is asked for until it has ended.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { createConfiguration, createJobId, host } from '../harness-2/configuration.mjs'
import { expectStatus, runCase } from '../harness-2/runCase.mjs'

const key = 'key-of-tenant-a'
const workers = 10
/** One worker of ten: a share of 0.1, of 0.14 at most. */
const crashing = 0
const label = 'large-memory'
const crashes = 5
const upMs = 1000
/** `for_s` is 4.5 at most. */
const downMs = 2000
const taskMs = 3000
const waitMs = 45_000

await runCase({
  folder: import.meta.dirname,
  deployment: { controls: 3, entries: 1, maxHoldMs: 10_000 },
  play: async ({ deployment, note, hasTrouble, startWorkers }) => {
    const json = createConfiguration({ version: 1 })
    const configured = await deployment.operate({ method: 'PUT', path: '/config', json })
    expectStatus('the configuration', configured, 200)
    const all = await startWorkers(workers, (at) => ({
      labels: [at === crashing ? label : 'a', at < workers / 2 ? 'rack-0' : 'rack-1'],
    }))
    await sleep(3000)

    const jobId = createJobId()
    const path = `/queue-a/${jobId}`
    const step = { count: 1, cpu: 4000, 'mem-mb': 1024, gpu: 1, 'est-runtime-ms': taskMs }
    const job = {
      spec: JSON.stringify({ ms: taskMs, gpu: 1 }),
      steps: [{ ...step, 'required-label': label }],
    }
    const accepted = await deployment.call({ method: 'POST', path, host, key, json: job })
    note(`client hands in job ${jobId}: answered ${accepted.status}`)
    expectStatus('the job', accepted, 200)

    const crash = async () => {
      for (let times = 0; times < crashes; times++) {
        await sleep(times === 0 ? upMs / 2 : upMs)
        await all[crashing].crash()
        await sleep(downMs)
        await all[crashing].start()
      }
      note(`${all[crashing].name} stays up from now on`)
    }
    const crashed = hasTrouble ? crash() : Promise.resolve()
    const endMs = Date.now() + waitMs
    let state = ''
    while (Date.now() < endMs && !['completed', 'failed', 'cancelled'].includes(state)) {
      await sleep(500)
      const answer = await deployment.call({ method: 'GET', path, host, key })
      state = answer.body?.state ?? ''
      note(`client asks for job ${jobId}: ${answer.status} ${state}`)
    }
    await crashed
    const { body } = await deployment.call({ method: 'GET', path, host, key })
    note(`client asks for job ${jobId} at the end: ${body?.state ?? ''}`)
    if (state === 'failed' || state === 'cancelled') return 'broken'
    if (state === 'completed') return 'held'
    throw new Error(`the job is shown as ${state} after ${waitMs} ms`)
  },
})
