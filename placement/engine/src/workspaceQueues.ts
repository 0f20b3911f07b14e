/** Queues the waiting jobs of each workspace, and serves the workspace with the lowest share first. */
import type { DominantShares } from './dominantShares.js'
import type { WaitingJob } from './placementView.js'

export type WorkspaceQueues = ReadonlyMap<string, readonly WaitingJob[]>

export function sortIntoQueues(
  jobs: readonly WaitingJob[],
  rank: (job: WaitingJob) => number,
): WorkspaceQueues {
  const queues = new Map<string, { job: WaitingJob; rank: number }[]>()
  for (const job of jobs) {
    const ranked = { job, rank: rank(job) }
    const queue = queues.get(job.workspace)
    if (queue === undefined) queues.set(job.workspace, [ranked])
    else queue.push(ranked)
  }
  const sorted = [...queues].map(([workspace, queue]) => {
    queue.sort((left, right) => left.rank - right.rank)
    return [workspace, queue.map(({ job }) => job)] as const
  })
  return new Map(sorted)
}

/** Calls `serve` for every job; the next job is always from the workspace with the lowest share. */
export function serveByShare(
  queues: WorkspaceQueues,
  shares: DominantShares,
  serve: (job: WaitingJob) => void,
): void {
  const open = [...queues].map(([workspace, queue]) => {
    return { workspace, jobs: queue.values(), share: shares.computeShare(workspace) }
  })
  while (open.length > 0) {
    let lowest = open[0]
    for (const queue of open) if (queue.share < (lowest?.share ?? 0)) lowest = queue
    if (lowest === undefined) return
    const next = lowest.jobs.next()
    if (next.done === true) {
      open.splice(open.indexOf(lowest), 1)
      continue
    }
    serve(next.value)
    lowest.share = shares.computeShare(lowest.workspace)
  }
}
