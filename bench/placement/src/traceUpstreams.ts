/** The upstreams of a trace run: which of them are gone, which fail what they run, and which are quarantined for that. */
import type { PlacementView } from '@nettlespur/placement.engine'
import type { Block } from '@nettlespur/placement.topology'
import type { Trace } from './trace.js'

const quarantineAfterFailures = 3

export class TraceUpstreams {
  readonly #trace: Trace
  readonly #failures = new Map<string, number>()

  constructor(trace: Trace) {
    this.#trace = trace
  }

  isGone(upstreamId: string, nowMs: number): boolean {
    return this.#isOut(upstreamId, 'gone', nowMs)
  }

  isFailing(upstreamId: string, nowMs: number): boolean {
    return this.#isOut(upstreamId, 'failing', nowMs)
  }

  /** Counts a failed run for each of its upstreams that is failing. */
  countFailures(blocks: readonly Block[], nowMs: number): void {
    for (const { upstreamId } of blocks) {
      if (!this.isFailing(upstreamId, nowMs)) continue
      this.#failures.set(upstreamId, (this.#failures.get(upstreamId) ?? 0) + 1)
    }
  }

  createView(nowMs: number): PlacementView['upstreams'] {
    return this.#trace.upstreams.map((upstream) => {
      const { upstreamId } = upstream
      if (this.isGone(upstreamId, nowMs)) return { ...upstream, state: 'gone' }
      const isQuarantined =
        (this.#failures.get(upstreamId) ?? 0) >= quarantineAfterFailures &&
        this.isFailing(upstreamId, nowMs)
      return isQuarantined ? { ...upstream, state: 'quarantined' } : upstream
    })
  }

  #isOut(upstreamId: string, kind: 'gone' | 'failing', nowMs: number): boolean {
    return this.#trace.outages.some(
      (outage) =>
        outage.upstreamId === upstreamId &&
        outage.kind === kind &&
        outage.fromMs <= nowMs &&
        nowMs < outage.untilMs,
    )
  }
}
