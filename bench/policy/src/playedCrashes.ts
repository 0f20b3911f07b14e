/**
 * Upstreams that are down, because of runs or by themselves, until their next processes answer: only then does the leader
 * know which runs were lost there.
 */

/** From the start of a run that crashes its upstream until the crash. */
const crashAfterMs = 10
/** Until the next life of the upstream answers. */
const reviveMs = 3200

export interface StartedRun {
  readonly upstreamId: string
  readonly startsAtMs: number
  readonly isCrashing: boolean
}

export class PlayedCrashes {
  readonly #revivesAtMs = new Map<string, number>()
  /** Upstreams that runs brought down, over the whole day. */
  count = 0
  hasHappened = false

  isDown(upstreamId: string): boolean {
    return this.#revivesAtMs.has(upstreamId)
  }

  /** To be called for each run as time goes by. */
  look({ upstreamId, startsAtMs, isCrashing }: StartedRun, nowMs: number): void {
    if (!isCrashing || this.isDown(upstreamId) || nowMs < startsAtMs + crashAfterMs) return
    this.bringDown(upstreamId, nowMs + reviveMs)
    this.count += 1
  }

  bringDown(upstreamId: string, revivesAtMs: number): void {
    this.#revivesAtMs.set(upstreamId, revivesAtMs)
    this.hasHappened = true
  }

  /** To be called for an upstream that is lost for good. */
  forget(upstreamId: string): void {
    this.#revivesAtMs.delete(upstreamId)
  }

  hasRevived(upstreamId: string, nowMs: number): boolean {
    return (this.#revivesAtMs.get(upstreamId) ?? Infinity) <= nowMs
  }

  /** Returns the upstreams whose next processes answer by now, each of them once. */
  takeRevived(nowMs: number): string[] {
    const revived = [...this.#revivesAtMs].flatMap(([upstreamId, atMs]) =>
      atMs <= nowMs ? [upstreamId] : [],
    )
    for (const upstreamId of revived) this.#revivesAtMs.delete(upstreamId)
    return revived
  }
}
