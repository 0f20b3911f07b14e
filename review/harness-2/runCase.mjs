/**
 * Runs one case: starts a deployment and its workers, judges what clients, workers and the operator saw, and ends all
 * that it started. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { Deployment } from './deployment.mjs'
import { Record } from './record.mjs'
import { service } from './configuration.mjs'
import { Worker } from './worker.mjs'

export const exitCodes = { held: 0, broken: 1, notRun: 2 }

const limitMs = 110_000
const workerCapacity = { cpu: 32_000, 'mem-mb': 131_072, gpu: 8 }
const workersPerRack = 8

/**
 * `play` gets the deployment, a function that notes a line, whether there is trouble, and `startWorkers`. It resolves to
 * `held` or `broken`, and throws where the case cannot be judged. The record goes to the file that the command line names.
 */
export async function runCase({ deployment: options, play }) {
  const hasTrouble = process.env.TROUBLE !== '0'
  const [, , recordFile] = process.argv
  const record = new Record()
  const note = (line) => {
    record.note(line)
  }
  note(`trouble: ${hasTrouble ? 'yes' : 'no'}`)
  const workers = []
  let deployment
  const startWorkers = async (count, describe = () => ({})) => {
    for (let at = 0; at < count; at++) {
      const worker = new Worker({
        name: `worker-${at}`,
        host: deployment.host('worker', at),
        service,
        labels: ['a', `rack-${Math.floor(at / workersPerRack)}`],
        capacity: workerCapacity,
        maxHoldMs: options.maxHoldMs,
        announceTo: deployment.controlAddresses,
        note,
        ...describe(at),
      })
      workers.push(worker)
      await worker.start()
    }
    return workers
  }
  let verdict = 'notRun'
  try {
    deployment = await Deployment.start(options)
    endOnSignals(deployment)
    const played = play({ deployment, note, hasTrouble, startWorkers })
    const tooLong = sleep(limitMs, undefined, { ref: false }).then(() => {
      throw new Error('the case took too long')
    })
    verdict = await Promise.race([played, tooLong])
  } catch (error) {
    note(`could not run: ${error instanceof Error ? error.message : String(error)}`)
  }
  await Promise.all(workers.map((worker) => worker.stop()))
  await deployment?.stop()
  note(`verdict: ${verdict}`)
  if (recordFile !== undefined) record.save(recordFile)
  console.log(`${hasTrouble ? 'with trouble' : 'without trouble'}: ${verdict}`)
  process.exit(exitCodes[verdict])
}

/** Nothing that was started is left where the script is ended from outside. */
function endOnSignals(deployment) {
  for (const name of ['SIGINT', 'SIGTERM']) {
    process.once(name, () => {
      for (const one of deployment.processes) one.signal('SIGKILL')
      process.exit(exitCodes.notRun)
    })
  }
}

/** Errors: throws if the status is another one. */
export function expectStatus(what, answer, status) {
  if (answer.status === status) return
  throw new Error(`${what}: ${JSON.stringify(answer)} instead of ${status}`)
}
