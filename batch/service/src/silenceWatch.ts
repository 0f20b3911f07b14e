/**
 * Finds out what became of upstreams that were silent until the lease of their runs had expired, and commits it. One that
 * answers as the same process has not crashed; one in whose place another process answers has. Until either is known, each
 * leader keeps asking.
 */
import { runKey } from '@nettlespur/batch.model'
import {
  listSilences,
  type BatchState,
  type Placement,
  type SilenceVerdict,
  type UpstreamLoss,
} from '@nettlespur/batch.state'
import { Wake, type Clock } from '@nettlespur/core.clock'
import { describeFault } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import { FirstSeenTimes } from './firstSeenTimes.js'
import type { JobClock } from './jobClock.js'
import type { TryPropose } from './proposer.js'
import { listActiveJobs, reportJobEnds } from './reportEnds.js'
import { splitBatches } from './splitBatches.js'
import type { UpstreamRoster } from './upstreamRoster.js'

/** An upstream that announces itself is asked sooner. */
const askEveryMs = 2000
/** Longer than most upstreams take to start again. After it, what is not known of an upstream counts as not to be learned. */
const learnMsMax = 60_000
const askLongSilentEveryMs = 15_000
/** After a failed commit. */
const retryPauseMs = 250

const silenceVerdicts: readonly SilenceVerdict[] = ['crashed', 'alive', 'unknown']

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

interface Finding {
  readonly run: Placement
  readonly verdict: SilenceVerdict
}

export class SilenceWatch {
  readonly #opts: SilenceWatchOptions
  readonly #wake = new Wake()
  /** What was learned and is not committed yet, by run key. */
  readonly #findings = new Map<string, Finding>()
  readonly #firstSeen = new FirstSeenTimes()
  #askedAtMs = -Infinity
  #askedLongSilentAtMs = -Infinity

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
    this.#note(upstreamId, 'alive')
  }

  /** The upstream's process is gone. That is no crash if it had announced that it would leave. */
  noteGone(upstreamId: string): void {
    this.#note(upstreamId, this.#hasAnnouncedLeave(upstreamId) ? 'alive' : 'crashed')
  }

  /** Commits what has been noted, of one upstream or of all. Resolves to false if that failed: it is tried again. */
  async commitFindings(upstreamId?: string): Promise<boolean> {
    const findings = [...this.#findings.values()].filter(
      ({ run }) => upstreamId === undefined || run.upstreamId === upstreamId,
    )
    for (const verdict of silenceVerdicts) {
      const runs = findings.flatMap((finding) => (finding.verdict === verdict ? [finding.run] : []))
      for (const batch of splitBatches(runs)) {
        if (!(await this.#settle(batch, verdict))) return false
      }
    }
    return true
  }

  async #tryStep(): Promise<boolean> {
    try {
      this.#askIfDue()
      return await this.commitFindings()
    } catch (thrown) {
      this.#opts.logger.error({ event: 'silence-watch.failed', ...describeFault(thrown) })
      return false
    }
  }

  #note(upstreamId: string, verdict: SilenceVerdict): void {
    const runs = this.#opts.getState().silences.getByUpstream(upstreamId)
    if (runs.size === 0) return
    for (const run of runs.values()) this.#keep(run, verdict)
    this.#wake.notify()
  }

  #askIfDue(): void {
    const { clock, getState } = this.#opts
    const nowMs = clock.monotonicMs()
    if (nowMs - this.#askedAtMs < askEveryMs) return
    this.#askedAtMs = nowMs
    const silent = new Set(getState().silences.upstreamIds)
    this.#firstSeen.update(silent, nowMs)
    const longSilent = new Set(this.#firstSeen.listOlderThan(learnMsMax, nowMs))
    const asksLongSilent = nowMs - this.#askedLongSilentAtMs >= askLongSilentEveryMs
    if (asksLongSilent) this.#askedLongSilentAtMs = nowMs
    for (const upstreamId of silent) {
      if (asksLongSilent || !longSilent.has(upstreamId)) this.#ask(upstreamId)
    }
    for (const upstreamId of longSilent) {
      if (this.#hasOpenSilence(upstreamId)) this.#note(upstreamId, 'unknown')
    }
  }

  /** Whether it is not committed yet that nothing could be learned of the upstream. */
  #hasOpenSilence(upstreamId: string): boolean {
    const { silences, jobs } = this.#opts.getState()
    const isOpenHere = (loss: UpstreamLoss): boolean =>
      loss.fate === 'open' && loss.upstreamId === upstreamId
    return [...silences.getByUpstream(upstreamId).values()].some(({ jobId, step, index }) => {
      const task = jobs.get(jobId)?.steps[step]?.tasks[index]
      return task !== undefined && listSilences(task).some(isOpenHere)
    })
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

  async #settle(runs: readonly Placement[], verdict: SilenceVerdict): Promise<boolean> {
    const { clock, getState, jobClock, logger, metrics, tryPropose } = this.#opts
    const jobs = listActiveJobs(getState(), runs)
    for (const run of runs) this.#findings.delete(runKey(run))
    if (!(await tryPropose({ type: 'settle-silences', runs: [...runs], verdict }))) {
      for (const run of runs) this.#keep(run, verdict)
      return false
    }
    this.#reportSettled(runs, verdict)
    reportJobEnds({ logger, metrics, jobs, jobClock, nowMs: clock.monotonicMs() })
    return true
  }

  /** What was learned first holds, as it tells what the silence was; that nothing was learned yields to it. */
  #keep(run: Placement, verdict: SilenceVerdict): void {
    const key = runKey(run)
    const known = this.#findings.get(key)?.verdict ?? 'unknown'
    if (known === 'unknown') this.#findings.set(key, { run, verdict })
  }

  #reportSettled(runs: readonly Placement[], verdict: SilenceVerdict): void {
    const { clock, getState, logger, metrics, roster } = this.#opts
    const counts = new Map<string, number>()
    for (const { upstreamId } of runs) counts.set(upstreamId, (counts.get(upstreamId) ?? 0) + 1)
    for (const [upstreamId, count] of counts) {
      logger.info({ event: 'upstream.silence-settled', upstreamId, verdict, runs: count })
      metrics.count(`silences_${verdict}_total`)
      const address = getState().upstreams.get(upstreamId)?.description.address
      if (verdict !== 'crashed' || address === undefined) continue
      roster.health.noteCrash({ upstreamId, address }, clock.monotonicMs())
    }
  }
}
