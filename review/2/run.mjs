/**
 * Among the jobs of one minute is one with very many tasks, which cannot be done in the day. The other accepted jobs have to
 * be known and answered for `finish_s` after the traffic has ended. Processes that end are started again, as by the platform.
 */
import { fileURLToPath, URL } from 'node:url'
import { createConfig, openFleet } from '../harness/fleet.mjs'
import { sleep } from '../harness/http.mjs'
import { StarvationWatch } from '../harness/starvationWatch.mjs'
import { runCase } from '../harness/runCase.mjs'

/** `record.txt` in this folder, as `run.sh` names it. */
const recordFile = process.argv[2] ?? fileURLToPath(new URL('record.txt', import.meta.url))

const workerCount = 6
const jobCount = 20
const workMs = 2500
const hugeCount = 150_000
const finishMs = 14_000
const sampleMs = 100
const tasksEach = 3
const restartAfterMs = 500

await runCase(recordFile, async ({ system, record, hasTrouble, own }) => {
  const jobs = new Map()
  const fleet = await openFleet({ system, record, own, count: workerCount, jobs })
  for (const process of system.controls) keepRunning(process, { system, record })
  await system.configure(createConfig())
  await sleep(4000)
  const accepted = []
  const submit = async (at, count) => {
    const jobId = `00000000000000${(16 + at).toString(16)}`
    jobs.set(jobId, { workMs, gpu: 1, cpu: 1000 })
    const step = { count, cpu: 1000, 'mem-mb': 1024, gpu: 1, 'est-runtime-ms': workMs }
    const isAccepted = await system.submit(jobId, { spec: `job ${at}`, steps: [step] })
    if (isAccepted && count === tasksEach) accepted.push(jobId)
  }
  for (let at = 0; at < jobCount; at++) {
    if (at === jobCount / 2 && hasTrouble) await submit(jobCount, hugeCount)
    await submit(at, tasksEach)
    await sleep(250)
  }
  record.note(`the traffic has ended: ${accepted.length} jobs were accepted`)
  const waits = new StarvationWatch({ fleet, jobIds: accepted, tasksEach })
  for (let left = finishMs; left > 0; left -= sampleMs) {
    await sleep(sampleMs)
    waits.sample(record.nowMs)
  }
  for (const [at, jobId] of accepted.entries()) await system.ask('GET', `/q/${jobId}`, { at })
  const ends = system.controls.map(({ name, ends = 0 }) => `${name}: ${ends}`)
  record.note(`control processes that ended by themselves: ${ends.join(', ')}`)
  return waits.broken
})

function keepRunning(process, { system, record }) {
  process.child.once('exit', (code, signal) => {
    if (system.isStopping) return
    record.note(`${process.name} ended by itself (${code ?? signal})`)
    process.ends = (process.ends ?? 0) + 1
    globalThis.setTimeout(() => {
      if (system.isStopping) return
      system.restart(process)
      keepRunning(process, { system, record })
    }, restartAfterMs)
  })
}
