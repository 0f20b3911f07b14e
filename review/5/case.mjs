/**
 * Clients hand in jobs while the operator takes their key away. The control process that leads is killed some
 * milliseconds after the change was sent, and starts again. Each client makes one attempt, as the answers 200 and 401
 * are final. No task may start of a job whose only attempt was refused.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { createConfiguration, createJobId, host } from '../harness-2/configuration.mjs'
import { call } from '../harness-2/http.mjs'
import { expectStatus, runCase } from '../harness-2/runCase.mjs'

/** One round takes about 11 s. */
const rounds = 7
const handInMs = 30
/** `after_ack_kill` with `timed` strikes 5 to 400 ms after the change was sent. */
const killAfterMs = [17, 20, 18, 22, 27, 33, 40]
const downMs = 3000
/** `catch-up-s` is 6: until then the machine counts as lost, and no other is touched. */
const catchUpMs = 6500
const refused = [401, 404, 429, 503]

const createKey = (round) => `key-${round}-of-tenant-a`
const step = { count: 1, cpu: 100, 'mem-mb': 64, 'est-runtime-ms': 200 }
const job = { spec: '{"ms":200,"gpu":0}', steps: [step] }

/** The keys of the rounds that are still to come. */
function createVersion(round) {
  const keys = Array.from({ length: rounds + 1 }, (_, at) => createKey(at)).slice(round)
  const tenant = { name: 'tenant-a', 'api-keys': keys, priority: 1, guaranteed: { gpu: 0 } }
  return createConfiguration({ version: round + 1, tenants: [tenant] })
}

/** Heartbeats are answered with the address of the member that leads. */
async function findLeader(deployment, worker) {
  for (let tries = 0; tries < 20; tries++) {
    const asked = deployment.controlAddresses[tries % deployment.controls.length]
    const at = deployment.controlAddresses.indexOf(await worker.announceNow(asked))
    if (at >= 0) return at
    await sleep(200)
  }
  throw new Error('nobody leads')
}

await runCase({
  deployment: { controls: 3, entries: 1, maxHoldMs: 10_000 },
  play: async ({ deployment, note, hasTrouble, startWorkers }) => {
    const started = new Set()
    const first = createVersion(0)
    const configured = await deployment.operate({ method: 'PUT', path: '/config', json: first })
    expectStatus('the first configuration', configured, 200)
    const workers = await startWorkers(4, () => ({
      onStart: ({ task }) => {
        started.add(task.split('.')[0])
      },
    }))
    await sleep(3000)

    let accepted = 0
    for (let round = 0; round < rounds; round++) {
      const leader = await findLeader(deployment, workers[0])
      const answers = new Map()
      const attempts = []
      const handIn = () => {
        const jobId = createJobId()
        const path = `/queue-a/${jobId}`
        const key = createKey(round)
        const attempt = deployment.call({ method: 'POST', path, host, key, json: job })
        attempts.push(attempt.then((answer) => answers.set(jobId, answer)))
      }
      const next = createVersion(round + 1)
      const startMs = Date.now()
      while (Date.now() - startMs < handInMs) {
        handIn()
        await sleep(1)
      }
      const address = deployment.controlAddresses[leader]
      const change = call({ address, method: 'PUT', path: '/config', json: next })
      note(`operator sends version ${next.version}, without ${createKey(round)}, to ${address}`)
      if (hasTrouble) {
        const waitMs = killAfterMs[round % killAfterMs.length]
        await sleep(waitMs)
        note(`control-${leader}, which leads, is killed ${waitMs} ms later`)
        await deployment.controls[leader].end('SIGKILL')
      }
      note(`operator's change: answered ${(await change).status}`)
      const resent = await deployment.operate({ method: 'PUT', path: '/config', json: next })
      note(`operator's change, sent again: answered ${resent.status}`)
      await Promise.all(attempts)
      await sleep(downMs)

      const broken = []
      for (const [jobId, { status, body }] of answers) {
        const hasStarted = started.has(jobId)
        const text = `${status} ${JSON.stringify(body ?? '')}`
        note(`client hands in ${jobId}: ${text}; ${hasStarted ? 'its task started' : 'no start'}`)
        if (status === 200) accepted += 1
        if (refused.includes(status) && hasStarted) broken.push(jobId)
      }
      note(`round ${round}: ${broken.length} of ${answers.size} jobs were refused and started`)
      if (broken.length > 0) return 'broken'
      if (hasTrouble) deployment.controls[leader].start()
      await sleep(catchUpMs)
    }
    if (accepted === 0) throw new Error('no job was accepted')
    return 'held'
  },
})
