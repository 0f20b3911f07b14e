/**
 * One worker of twelve is unhealthy for 6.5 s: it answers each start with 503 and does nothing. All others are full. The number
 * of pending jobs has to be at least half of those that were accepted some time ago and of which no task has started.
 */
import { fileURLToPath, URL } from 'node:url'
import { createConfig, openFleet } from '../harness/fleet.mjs'
import { sleep } from '../harness/http.mjs'
import { runCase } from '../harness/runCase.mjs'

/** `record.txt` in this folder, as `run.sh` names it. */
const recordFile = process.argv[2] ?? fileURLToPath(new URL('record.txt', import.meta.url))

/** 1 of 12: a share of 0.083. */
const workerCount = 12
const unhealthyMs = 6500
const gpusEach = 8
const longMs = 30_000
const shortMs = 2500
const waitingCount = 8
/** `visible_ms` and 2 s. */
const acceptedBeforeMs = 5000

await runCase(recordFile, async ({ system, record, hasTrouble, own }) => {
  const jobs = new Map()
  const fleet = await openFleet({ system, record, own, count: workerCount, jobs })
  const routes = [
    { name: 'long', prefix: '/long/', priority: 2 },
    { name: 'short', prefix: '/short/', priority: 2 },
  ]
  await system.configure(createConfig(routes))
  await sleep(4000)
  const unhealthy = fleet.at(-1).worker
  const beganMs = record.nowMs
  if (hasTrouble) {
    record.note(`${unhealthy.id} is unhealthy`)
    unhealthy.isUnhealthy = true
  }
  const submit = async (jobId, { count, workMs, prefix }) => {
    jobs.set(jobId, { workMs, gpu: 1, cpu: 4000 })
    const step = { count, cpu: 4000, 'mem-mb': 1024, gpu: 1, 'est-runtime-ms': workMs }
    return system.submit(jobId, { spec: jobId, steps: [step] }, { prefix })
  }
  for (let at = 1; at < workerCount; at++) {
    const jobId = `00000000000000${(16 + at).toString(16)}`
    await submit(jobId, { count: gpusEach, workMs: longMs, prefix: '/long/' })
  }
  const accepted = []
  for (let at = 0; at < waitingCount; at++) {
    const jobId = `00000000000000${(160 + at).toString(16)}`
    if (await submit(jobId, { count: 1, workMs: shortMs, prefix: '/short/' }))
      accepted.push({ jobId, atMs: record.nowMs })
  }
  await sleep(beganMs + unhealthyMs - 50 - record.nowMs)
  const broken = []
  for (const at of system.entries.keys()) {
    const askedMs = record.nowMs
    const answer = await system.ask('GET', '/short/', { at })
    if (answer?.status !== 200) throw new Error('the count was not answered')
    const { pending } = JSON.parse(answer.body)
    const runs = fleet.flatMap(({ worker }) => worker.runs)
    const isWaiting = ({ jobId, atMs }) =>
      askedMs - atMs > acceptedBeforeMs && !runs.some(({ task }) => task.startsWith(jobId))
    const waiting = accepted.filter(isWaiting).length
    record.note(`${waiting} jobs have not begun; pending: ${pending}`)
    if (pending < waiting / 2)
      broken.push(`MIXED: pending is ${pending}, though ${waiting} jobs have not begun`)
  }
  for (const { jobId } of accepted) await system.ask('GET', `/short/${jobId}`)
  unhealthy.isUnhealthy = false
  return broken
})
