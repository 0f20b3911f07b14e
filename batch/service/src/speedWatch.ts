/**
 * Tells upstreams on which work goes much slower than declared. Declared run times are only trusted for
 * queues whose finished runs bore them out, and one run at a good pace clears an upstream.
 */
import type { RunTrack } from '@nettlespur/batch.sessions'

/** Below this share of the usual pace an upstream counts as slow; sound ones differ by up to 1.6 times. */
const slowShare = 0.45
/** A pace measured over less than this says more of the start-up than of the upstream. */
const measuredMsMin = 900
/** Mean distance of a queue's run times from those declared, as a natural logarithm, up to which they are trusted. */
const trustedSpread = 0.35
/** Finished runs of a queue before its declared times are trusted or corrected. */
const finishedMin = 4
const learningRate = 0.1
/** How long an upstream is kept from new work after it was last seen to be slow. */
const slowMs = 4000
const wholePercent = 100

interface QueueTimes {
  finished: number
  /** Of actual by declared run times, as natural logarithms. */
  meanLog: number
  spread: number
}

export interface WatchedRun {
  readonly track: RunTrack
  readonly queue: string
  readonly declaredMs: number
}

export class SpeedWatch {
  readonly #queues = new Map<string, QueueTimes>()
  readonly #slowUntilMs = new Map<string, number>()

  /** A run that began anew and was done in one go. */
  noteDone(queue: string, declaredMs: number, actualMs: number): void {
    if (declaredMs <= 0 || actualMs <= 0) return
    const ratioLog = Math.log(actualMs / declaredMs)
    const known = this.#queues.get(queue) ?? { finished: 0, meanLog: ratioLog, spread: 0 }
    const rate = Math.max(learningRate, 1 / (known.finished + 1))
    known.meanLog += (ratioLog - known.meanLog) * rate
    known.spread += (Math.abs(ratioLog - known.meanLog) - known.spread) * rate
    known.finished += 1
    this.#queues.set(queue, known)
  }

  /** Looks at all runs anew. */
  update(runs: readonly WatchedRun[], nowMs: number): void {
    const best = new Map<string, number>()
    for (const run of runs) {
      const pace = this.paceOf(run)
      if (pace === undefined) continue
      const { upstreamId } = run.track.placement
      best.set(upstreamId, Math.max(best.get(upstreamId) ?? 0, pace))
    }
    for (const [upstreamId, pace] of best) {
      if (pace < slowShare) this.#slowUntilMs.set(upstreamId, nowMs + slowMs)
      else this.#slowUntilMs.delete(upstreamId)
    }
  }

  isSlow(upstreamId: string, nowMs: number): boolean {
    return (this.#slowUntilMs.get(upstreamId) ?? -Infinity) > nowMs
  }

  /** 1 for the usual pace of its queue; undefined where nothing can be said yet. */
  paceOf({ track, queue, declaredMs }: WatchedRun): number | undefined {
    const times = this.#queues.get(queue)
    if (times === undefined || times.finished < finishedMin) return undefined
    if (times.spread > trustedSpread) return undefined
    const { firstPercent, firstPercentAtMs, progressPercent, progressAtMs } = track
    const measuredMs = progressAtMs - firstPercentAtMs
    if (measuredMs < measuredMsMin) return undefined
    const usualMs = declaredMs * Math.exp(times.meanLog)
    return (((progressPercent - firstPercent) / wholePercent) * usualMs) / measuredMs
  }
}
