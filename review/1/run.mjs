/**
 * Workers are cut off from all machines for 5.5 s and run on; calls to them meet resets and refused connections. No task
 * may run twice at the same time.
 */
import { fileURLToPath, URL } from 'node:url'
import { createConfig, cutOff, openFleet, rejoin } from '../harness/fleet.mjs'
import { listTwice } from '../harness/checkRuns.mjs'
import { sleep } from '../harness/http.mjs'
import { runCase } from '../harness/runCase.mjs'

/** `record.txt` in this folder, as `run.sh` names it. */
const recordFile = process.argv[2] ?? fileURLToPath(new URL('record.txt', import.meta.url))

const workerCount = 6
/** 1 of 6: a share of 0.17. */
const cutCount = 1
const cutMs = 5500
const workMs = 8500
const jobCount = 8

await runCase(recordFile, async ({ system, record, hasTrouble, own }) => {
  const jobs = new Map()
  const fleet = await openFleet({ system, record, own, count: workerCount, jobs })
  await system.configure(createConfig())
  await sleep(4000)
  for (let at = 0; at < jobCount; at++) {
    const jobId = `00000000000000${(16 + at).toString(16)}`
    jobs.set(jobId, { workMs, gpu: 1, cpu: 4000 })
    const step = { count: 4, cpu: 4000, 'mem-mb': 1024, gpu: 1, 'est-runtime-ms': workMs }
    if (!(await system.submit(jobId, { spec: `job ${at}`, steps: [step] })))
      throw new Error(`job ${jobId} was not accepted`)
  }
  await sleep(2000)
  const busy = fleet.filter(({ worker }) => worker.runs.length > 0)
  const cut = busy.slice(0, cutCount)
  if (cut.length < cutCount) throw new Error('no worker runs anything')
  if (hasTrouble) {
    record.note(`cut off: ${cut.map(({ id }) => id).join(' ')}`)
    await cutOff(cut, 'refused')
  }
  await sleep(cutMs)
  if (hasTrouble) {
    await rejoin(cut)
    record.note('the cut has healed')
  }
  await sleep(16_000)
  const runs = fleet.flatMap(({ worker }) => worker.runs)
  return listTwice(runs)
})
