/**
 * Takes over placed gangs that nothing runs, places waiting jobs whenever something has changed, and keeps
 * why the others wait.
 */
import type { UpstreamView } from '@nettlespur/api.schemas'
import { waitForWake, type GangManager } from '@nettlespur/control.gangs'
import { readJob } from '@nettlespur/control.state'
import { toNettlespurError } from '@nettlespur/core.errors'
import type { PlaceDecision } from '@nettlespur/placement.engine'
import { filter, merge, type BehaviorSubject } from 'rxjs'
import { createPlacementView } from './createPlacementView.js'
import type { ControlNodeOptions } from './nodeOptions.js'
import type { UpstreamTable } from './upstreamTable.js'

/** Changes within this time are decided on together. */
const settleMs = 10
const tickMs = 1000

export interface PlacementLoopOptions {
  node: ControlNodeOptions
  gangs: GangManager
  upstreams: UpstreamTable
  version: BehaviorSubject<number>
}

export class PlacementLoop {
  readonly #opts: PlacementLoopOptions
  #waitReasons = new Map<string, string>()

  constructor(opts: PlacementLoopOptions) {
    this.#opts = opts
  }

  /** Why a job waits, as of the last round; undefined where it does not. */
  getWaitReason(jobId: string): string | undefined {
    return this.#waitReasons.get(jobId)
  }

  async run(signal: AbortSignal): Promise<void> {
    const { node, version } = this.#opts
    const { holder, clock } = node
    while (!signal.aborted) {
      const seenIndex = holder.state.appliedIndex
      const seenVersion = version.value
      await this.#tryPlace(signal)
      const wakes = merge(
        holder.applied.pipe(filter((index) => index > seenIndex)),
        version.pipe(filter((value) => value > seenVersion)),
      )
      await waitForWake(clock, this.#pickPauseMs(), wakes, signal)
      await clock.sleep(settleMs, signal)
    }
  }

  /** One failed round must not end the loop. */
  async #tryPlace(signal: AbortSignal): Promise<void> {
    try {
      await this.#placeOnce(signal)
    } catch (thrown) {
      const reason = toNettlespurError(thrown).message
      this.#opts.node.logger.error({ event: 'placement.round-failed', reason })
    }
  }

  async #placeOnce(signal: AbortSignal): Promise<void> {
    const { node, upstreams, gangs } = this.#opts
    gangs.recover()
    const views = upstreams.list()
    const view = createPlacementView(node.holder.state, views, node.clock.now())
    const reasons = new Map<string, string>()
    for (const decision of node.policy.decide(view)) {
      if (signal.aborted) return
      if (decision.kind === 'place') await this.#place(decision, views)
      else if (decision.kind === 'wait') reasons.set(decision.jobId, decision.reason)
    }
    this.#keepReasons(reasons)
  }

  async #place(decision: PlaceDecision, views: readonly UpstreamView[]): Promise<void> {
    const { node, gangs } = this.#opts
    const { jobId, reason, blocks } = decision
    const addresses = new Map(views.map((view) => [view.upstreamId, view.address]))
    const assignments = blocks.map(({ upstreamId, acceleratorIndexes }) => {
      const address = addresses.get(upstreamId) ?? ''
      return { upstreamId, address, acceleratorIndexes: [...acceleratorIndexes] }
    })
    const at = node.clock.now().toISOString()
    const outcome = await node.log
      .propose({ type: 'job.place', at, jobId, assignments, reason })
      .run()
    const job = outcome.chain(readJob)
    const upstreams = blocks.map((block) => block.upstreamId)
    job.caseOf({
      Left: (error) => {
        node.logger.warn({ event: 'placement.refused', jobId, upstreams, reason: error.message })
      },
      Right: (placed) => {
        const fence = placed.placement?.fence
        node.logger.info({ event: 'placement.decided', jobId, upstreams, fence, reason })
        gangs.start(placed)
      },
    })
  }

  #keepReasons(reasons: Map<string, string>): void {
    for (const [jobId, reason] of reasons) {
      if (this.#waitReasons.get(jobId) === reason) continue
      this.#opts.node.logger.info({ event: 'placement.waits', jobId, reason })
    }
    this.#waitReasons = reasons
  }

  /** Until the next tick, or until a job that was tried may be tried again. */
  #pickPauseMs(): number {
    const { holder, clock } = this.#opts.node
    const nowMs = clock.now().getTime()
    const due = holder.state
      .listLiveJobs()
      .filter((job) => job.state === 'queued' && job.retryAt !== undefined)
      .map((job) => Date.parse(job.retryAt ?? '') - nowMs)
      .filter((leftMs) => leftMs > 0)
    return Math.min(tickMs, ...due)
  }
}
