/** Upstreams that runs have brought down, until their next lives answer: only then is it known what went down there. */

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
  /** Upstreams that crashed, over the whole day. */
  count = 0

  isDown(upstreamId: string): boolean {
    return this.#revivesAtMs.has(upstreamId)
  }

  /** To be called for each run as time goes by. */
  look({ upstreamId, startsAtMs, isCrashing }: StartedRun, nowMs: number): void {
    if (!isCrashing || this.isDown(upstreamId) || nowMs < startsAtMs + crashAfterMs) return
    this.#revivesAtMs.set(upstreamId, nowMs + reviveMs)
    this.count += 1
  }

  /** Upstreams whose next lives answer by now; each is named once. */
  takeRevived(nowMs: number): string[] {
    const revived = [...this.#revivesAtMs].flatMap(([upstreamId, atMs]) =>
      atMs <= nowMs ? [upstreamId] : [],
    )
    for (const upstreamId of revived) this.#revivesAtMs.delete(upstreamId)
    return revived
  }
}
