/** Removes records whose retention has expired: jobs that ended long ago, and upstreams that have left. */
import type { BatchState, Command } from '@nettlespur/batch.state'
import type { Clock } from '@nettlespur/core.clock'
import { FirstSeenTimes } from './firstSeenTimes.js'

/** A clean-up scans all jobs. They are kept for minutes, so a second more or less does not matter. */
const cleanupIntervalMs = 1000
/** Longer than an announcement can be in transit, so that a late one does not bring the upstream back. */
const leftUpstreamRetentionMs = 600_000

export interface HousekeeperOptions {
  clock: Clock
  /** How long a job stays readable after it has ended. */
  keepEndedMs: number
  getState: () => BatchState
  /** Resolves to false if the command was not committed; the next clean-up tries again. */
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

  /** Does nothing if the last clean-up was less than `cleanupIntervalMs` ago, so it may be called often. */
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

/** Upstreams that have left and hold no runs; the others are kept until their runs have ended. */
function listLeftUpstreams({ upstreams, placements }: BatchState): Set<string> {
  const left = new Set<string>()
  for (const [upstreamId, { hasLeft }] of upstreams) {
    if (hasLeft && placements.getByUpstream(upstreamId).size === 0) left.add(upstreamId)
  }
  return left
}
