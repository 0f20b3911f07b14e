/**
 * The paces observed of one step's tasks. The tasks are alike, so what their paces have in common is the error of the
 * declared run time.
 */
export interface TaskPace {
  readonly upstreamId: string
  readonly logPace: number
}

/** Paces on more upstreams hardly improve the median. */
const upstreamsMax = 16

export class StepPaces {
  /** Paces that wait until those of enough tasks of the step are known. */
  readonly waiting: TaskPace[] = []
  /** The newest paces, one for each of the upstreams seen last, the newest at the end. */
  readonly #byUpstream = new Map<string, number>()
  readonly #timesUsed = new Map<string, number>()
  /** Number of paces noted, those no longer held included. */
  tasks = 0

  /** Number of paces and counts held. */
  get size(): number {
    return this.#byUpstream.size + this.#timesUsed.size + this.waiting.length
  }

  note({ upstreamId, logPace }: TaskPace): void {
    this.tasks += 1
    this.#byUpstream.delete(upstreamId)
    this.#byUpstream.set(upstreamId, logPace)
    const [oldest] = this.#byUpstream.keys()
    if (oldest !== undefined && this.#byUpstream.size > upstreamsMax)
      this.#byUpstream.delete(oldest)
  }

  listOthers(upstreamId: string): TaskPace[] {
    return [...this.#byUpstream]
      .filter(([otherId]) => otherId !== upstreamId)
      .map(([otherId, logPace]) => ({ upstreamId: otherId, logPace }))
  }

  /**
   * Counts a use of evidence on `key` and returns its weight. Observations of one step share the error of its declared
   * run time, so each further one on the same upstream weighs less.
   */
  countUse(key: string): number {
    const uses = (this.#timesUsed.get(key) ?? 0) + 1
    this.#timesUsed.delete(key)
    this.#timesUsed.set(key, uses)
    const [oldest] = this.#timesUsed.keys()
    if (oldest !== undefined && this.#timesUsed.size > upstreamsMax) this.#timesUsed.delete(oldest)
    return 1 / uses
  }
}
