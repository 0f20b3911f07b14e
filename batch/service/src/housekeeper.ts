/** Forgets what nobody asks for any more: jobs that ended long ago, and lives of upstreams that have left. */
import type { BatchState, Command } from '@nettlespur/batch.state'
import type { Clock } from '@nettlespur/core.clock'
import { FirstSeenTimes } from './firstSeenTimes.js'

/** A look goes over all jobs; they are kept for minutes, so a second more or less does not matter. */
const cleanupIntervalMs = 1000
/** Longer than an announcement can be under way, so that a late one does not bring the life back. */
const leftUpstreamRetentionMs = 600_000

export interface HousekeeperOptions {
  clock: Clock
  /** How long an ended job is still shown. */
  keepEndedMs: number
  getState: () => BatchState
  /** False where the command was not committed, which is tried again at the next look. */
  tryPropose: (command: Command) => Promise<boolean>
}

export class Housekeeper {
  readonly #opts: HousekeeperOptions
  readonly #endedJobs = new FirstSeenTimes()
  readonly #leftUpstreams = new FirstSeenTimes()
  #lastCleanupMs = -Infinity

  constructor(opts: HousekeeperOptions) {
    this.#opts = opts
  }

  /** To be called often; does nothing where the last look was a moment ago. */
  async cleanUp(): Promise<void> {
    const nowMs = this.#opts.clock.monotonicMs()
    if (nowMs - this.#lastCleanupMs < cleanupIntervalMs) return
    this.#lastCleanupMs = nowMs
    const state = this.#opts.getState()
    this.#endedJobs.update(listEndedJobs(state), nowMs)
    this.#leftUpstreams.update(listLeftUpstreams(state), nowMs)
    const jobIds = this.#endedJobs.listOlderThan(this.#opts.keepEndedMs, nowMs)
    if (jobIds.length > 0) await this.#opts.tryPropose({ type: 'forget-jobs', jobIds })
    const upstreamIds = this.#leftUpstreams.listOlderThan(leftUpstreamRetentionMs, nowMs)
    if (upstreamIds.length === 0) return
    await this.#opts.tryPropose({ type: 'forget-upstreams', upstreamIds })
  }
}

function listEndedJobs({ jobs, unsettled }: BatchState): Set<string> {
  const ended = new Set<string>()
  for (const jobId of jobs.keys()) {
    if (!unsettled.has(jobId)) ended.add(jobId)
  }
  return ended
}

/** Those that still hold runs are kept until these have ended. */
function listLeftUpstreams({ upstreams, placements }: BatchState): Set<string> {
  const left = new Set<string>()
  for (const [upstreamId, { hasLeft }] of upstreams) {
    if (hasLeft && placements.on(upstreamId).size === 0) left.add(upstreamId)
  }
  return left
}
