/**
 * Finds out what became of upstreams that were silent until the lease of their runs had expired, and commits it. One that
 * answers as the same process has not crashed; one in whose place another process answers has. Until either is known, each
 * leader keeps asking.
 */
import { runKey } from '@nettlespur/batch.model'
import type { BatchState, Placement } from '@nettlespur/batch.state'
import { Wake, type Clock } from '@nettlespur/core.clock'
import { describeFault } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import type { JobClock } from './jobClock.js'
import type { TryPropose } from './proposer.js'
import { listActiveJobs, reportJobEnds } from './reportEnds.js'
import { splitBatches } from './splitBatches.js'
import type { UpstreamRoster } from './upstreamRoster.js'

/** An upstream that announces itself is asked sooner. */
const askEveryMs = 2000
/** After a failed commit. */
const retryPauseMs = 250

export interface SilenceWatchOptions {
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
  jobClock: JobClock
  roster: Pick<UpstreamRoster, 'openSession' | 'succession' | 'health'>
  getState: () => BatchState
  tryPropose: TryPropose
  /** Ends the watch. */
  signal: AbortSignal
}

interface Verdict {
  readonly run: Placement
  readonly hasCrashed: boolean
}

export class SilenceWatch {
  readonly #opts: SilenceWatchOptions
  readonly #wake = new Wake()
  /** What is known and not committed yet, by run key. The first verdict holds: it tells what the silence was. */
  readonly #verdicts = new Map<string, Verdict>()
  #askedAtMs = -Infinity

  constructor(opts: SilenceWatchOptions) {
    this.#opts = opts
  }

  /** Resolves once the signal ends the term. Never rejects: a fault of the program is logged, and the watch goes on. */
  async run(): Promise<void> {
    const { clock, signal } = this.#opts
    const isOver = (): boolean => signal.aborted
    while (!isOver()) {
      await this.#wake.wait(clock, askEveryMs, signal)
      if (isOver()) return
      if (!(await this.#tryStep())) await clock.sleep(retryPauseMs, signal)
    }
  }

  /** The upstream has answered as the process that it was. */
  noteAlive(upstreamId: string): void {
    this.#note(upstreamId, false)
  }

  /** The upstream's process is gone. That is no crash if it had announced that it would leave. */
  noteGone(upstreamId: string): void {
    this.#note(upstreamId, !this.#hasAnnouncedLeave(upstreamId))
  }

  /** Commits what has been noted. Resolves to false if that failed: it is tried again. */
  async commitVerdicts(): Promise<boolean> {
    const verdicts = [...this.#verdicts.values()]
    for (const hasCrashed of [true, false]) {
      const runs = verdicts.filter((verdict) => verdict.hasCrashed === hasCrashed)
      for (const batch of splitBatches(runs.map(({ run }) => run))) {
        if (!(await this.#settle(batch, hasCrashed))) return false
      }
    }
    return true
  }

  async #tryStep(): Promise<boolean> {
    try {
      this.#askIfDue()
      return await this.commitVerdicts()
    } catch (thrown) {
      this.#opts.logger.error({ event: 'silence-watch.failed', ...describeFault(thrown) })
      return false
    }
  }

  #note(upstreamId: string, hasCrashed: boolean): void {
    const runs = this.#opts.getState().silences.getByUpstream(upstreamId)
    if (runs.size === 0) return
    for (const [key, run] of runs) {
      if (!this.#verdicts.has(key)) this.#verdicts.set(key, { run, hasCrashed })
    }
    this.#wake.notify()
  }

  #askIfDue(): void {
    const { clock, getState } = this.#opts
    const nowMs = clock.monotonicMs()
    if (nowMs - this.#askedAtMs < askEveryMs) return
    this.#askedAtMs = nowMs
    for (const upstreamId of getState().silences.upstreamIds) this.#ask(upstreamId)
  }

  #ask(upstreamId: string): void {
    const { roster } = this.#opts
    if (this.#hasAnnouncedLeave(upstreamId) || roster.succession.isReplaced(upstreamId))
      this.noteGone(upstreamId)
    else roster.openSession(upstreamId)?.pollOnce()
  }

  /** Whether it has, or the state no longer holds it, which only happens long after. */
  #hasAnnouncedLeave(upstreamId: string): boolean {
    const upstream = this.#opts.getState().upstreams.get(upstreamId)
    return upstream === undefined || upstream.isDraining || upstream.hasLeft
  }

  async #settle(runs: readonly Placement[], hasCrashed: boolean): Promise<boolean> {
    const { clock, getState, jobClock, logger, metrics, tryPropose } = this.#opts
    const jobs = listActiveJobs(getState(), runs)
    if (!(await tryPropose({ type: 'settle-silences', runs: [...runs], hasCrashed }))) return false
    for (const run of runs) this.#verdicts.delete(runKey(run))
    this.#reportSettled(runs, hasCrashed)
    reportJobEnds({ logger, metrics, jobs, jobClock, nowMs: clock.monotonicMs() })
    return true
  }

  #reportSettled(runs: readonly Placement[], hasCrashed: boolean): void {
    const { clock, getState, logger, metrics, roster } = this.#opts
    const counts = new Map<string, number>()
    for (const { upstreamId } of runs) counts.set(upstreamId, (counts.get(upstreamId) ?? 0) + 1)
    for (const [upstreamId, count] of counts) {
      logger.info({ event: 'upstream.silence-settled', upstreamId, hasCrashed, runs: count })
      metrics.count(hasCrashed ? 'silences_crashed_total' : 'silences_alive_total')
      const address = getState().upstreams.get(upstreamId)?.description.address
      if (!hasCrashed || address === undefined) continue
      roster.health.noteCrash({ upstreamId, address }, clock.monotonicMs())
    }
  }
}
