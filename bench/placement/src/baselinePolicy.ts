/** What the baselines share: jobs in order of submission, limits kept, nothing ever stopped. */
import {
  PlacementPolicy,
  type PlacementDecision,
  type PlacementView,
  type WaitingJob,
} from '@nettlespur/placement.engine'
import { ClusterMap, type Block } from '@nettlespur/placement.topology'

export abstract class BaselinePolicy extends PlacementPolicy {
  /** The blocks this job starts on now. */
  protected abstract find(
    map: ClusterMap,
    job: WaitingJob,
    view: PlacementView,
  ): Block[] | undefined

  /** Whether the jobs behind one that does not fit are tried too; called once for each that does not. */
  protected abstract passes(map: ClusterMap, job: WaitingJob, view: PlacementView): boolean

  /** Called at the start of each round. */
  protected begin(): void {
    // Most baselines remember nothing.
  }

  decide(view: PlacementView): PlacementDecision[] {
    this.begin()
    const map = new ClusterMap(view.upstreams, view.running)
    const decisions: PlacementDecision[] = []
    let isOpen = true
    for (const job of view.waiting) {
      const blocks = isOpen ? this.find(map, job, view) : undefined
      if (blocks === undefined) {
        isOpen &&= !this.canEverFit(job, view.upstreams) || this.passes(map, job, view)
        decisions.push({ kind: 'wait', jobId: job.jobId, reason: 'no room' })
        continue
      }
      const started = { isStopping: false, startedAtMs: view.nowMs, checkpointedAtMs: undefined }
      map.hold({ ...job, ...started, blocks, attempts: 1 })
      decisions.push({ kind: 'place', jobId: job.jobId, blocks, reason: 'fits' })
    }
    return decisions
  }
}
