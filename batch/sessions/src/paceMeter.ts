/** Measures once how fast a run makes progress, from the progress that its upstream reports and from its end. */

/** Progress made in some time. */
export interface RunPace {
  /** 1 is the whole run. */
  readonly progress: number
  readonly elapsedMs: number
}

interface Reading {
  readonly percent: number
  readonly atMs: number
}

/** Over less progress or time, rounding and the delay of answers would distort the pace. */
const gainedPercentMin = 20
const elapsedMsMin = 300
const wholePercent = 100

export class PaceMeter {
  /** Whether nothing more is to be measured. */
  isOver = false
  /** The beginning of the run; undefined if that is not known, or if it resumed from a checkpoint. */
  readonly #begin: Reading | undefined
  /** A run that was resumed or inherited does not begin at 0 %, so that only progress since this reading counts. */
  #base: Reading | undefined
  #lastPercent = 0

  constructor(begunAtMs?: number) {
    this.#begin = begunAtMs === undefined ? undefined : { percent: 0, atMs: begunAtMs }
  }

  /** Whether progress was read before. */
  get hasReading(): boolean {
    return this.#base !== undefined
  }

  /**
   * Returns the pace once enough progress was made, and undefined before. Returns `invalid`, and measures nothing more,
   * if the progress runs backwards or beyond the whole run.
   */
  read(percent: number, atMs: number): RunPace | 'invalid' | undefined {
    if (!(percent >= this.#lastPercent) || percent > wholePercent) {
      this.isOver = true
      return 'invalid'
    }
    this.#lastPercent = percent
    // While a gang waits for its last member, or a task starts up, nothing is done yet.
    if (this.#base === undefined || percent === 0) this.#base = { percent, atMs }
    return this.#measure(this.#base, { percent, atMs })
  }

  /**
   * Returns the pace of a run that has ended well, and measures nothing more: from its first reading on or, if too little
   * is left from there or no progress was ever reported, as a whole. Returns undefined if the run was too short, or if
   * neither its beginning nor any progress is known.
   */
  end(atMs: number): RunPace | undefined {
    const end = { percent: wholePercent, atMs }
    const isReported = this.#lastPercent > 0
    const fromReading = isReported ? this.#measure(this.#base, end) : undefined
    const pace = fromReading ?? this.#measure(this.#begin, end)
    this.isOver = true
    return pace
  }

  #measure(base: Reading | undefined, { percent, atMs }: Reading): RunPace | undefined {
    if (base === undefined) return undefined
    const elapsedMs = atMs - base.atMs
    if (percent - base.percent < gainedPercentMin || elapsedMs < elapsedMsMin) return undefined
    this.isOver = true
    return { progress: (percent - base.percent) / wholePercent, elapsedMs }
  }
}
