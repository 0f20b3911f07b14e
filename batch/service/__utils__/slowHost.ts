/** The host of one session, with one upstream and one job `j` of two tasks, whose commits take a while or fail. */
import type { StepSpec } from '@nettlespur/batch.model'
import { createConfig, createJob, createUpstream } from '@nettlespur/batch.samples'
import { SessionHost } from '@nettlespur/batch.sessions'
import {
  BatchState,
  type JobRecord,
  type Placement,
  type RunEnd,
  type UpstreamRecord,
} from '@nettlespur/batch.state'
import type { ManualClock } from '@nettlespur/core.clock'

/** Applies commits to a real state after `commitMs`. */
export class SlowHost extends SessionHost {
  static readonly commitMs = 20
  readonly upstreamId: string
  readonly state = new BatchState()
  readonly gone: string[] = []
  /** How many of the next commits fail. */
  failingCommits = 0
  readonly #clock: ManualClock

  constructor(clock: ManualClock, upstreamId: string, step: Partial<StepSpec> = {}) {
    super()
    this.#clock = clock
    this.upstreamId = upstreamId
    this.state.apply({ type: 'apply-config', config: createConfig(1) })
    this.state.apply({ type: 'note-upstream', description: createUpstream(upstreamId) })
    const request = createJob('j', { taskCount: 2, ...step })
    this.state.apply({ type: 'submit-job', request, workspace: 'w1', queueName: 'queue1' })
  }

  /** Places the task `index` of the job `j` on the upstream. */
  place(index: number, attempt = 1): Placement {
    const placement = { jobId: 'j', step: 0, index, attempt, upstreamId: this.upstreamId }
    this.state.apply({ type: 'place-tasks', placements: [placement] })
    return placement
  }

  override findJob(jobId: string): JobRecord | undefined {
    return this.state.jobs.get(jobId)
  }

  override findUpstream(): UpstreamRecord | undefined {
    return this.state.upstreams.get(this.upstreamId)
  }

  override isEvacuated(upstreamId: string): boolean {
    return this.state.isEvacuated(upstreamId)
  }

  override listPlacements(): ReadonlyMap<string, Placement> {
    return this.state.placements.getByUpstream(this.upstreamId)
  }

  override shouldStop(): boolean {
    return false
  }

  override noteBegun(): void {
    // These tests do not ask which jobs have begun.
  }

  override async commitEnds(ends: readonly RunEnd[]): Promise<boolean> {
    await this.#clock.sleep(SlowHost.commitMs)
    this.failingCommits -= 1
    if (this.failingCommits >= 0) return false
    this.state.apply({ type: 'end-runs', ends: [...ends] })
    return true
  }

  override issueFence(): number {
    return 1
  }

  override noteAnswered(): boolean {
    return true
  }

  override noteReplaced(): void {
    // The process that answers has another id.
  }

  override abandonGang(): void {
    // The job of these tests is no gang.
  }

  override noteGone(goneId: string): void {
    this.gone.push(goneId)
  }
}
