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
  /** When the run began; undefined if that is not known, or if it resumed from a checkpoint. */
  readonly #begunAtMs: number | undefined
  /** A run that was resumed or inherited does not begin at 0 %, so that only progress since this reading counts. */
  #base: Reading | undefined
  #lastPercent = 0

  constructor(begunAtMs?: number) {
    this.#begunAtMs = begunAtMs
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
    this.#base ??= { percent, atMs }
    return this.#measure(this.#base, { percent, atMs })
  }

  /**
   * Returns the pace of a run that has ended well, and measures nothing more. Returns undefined if the run was too short,
   * or if neither its beginning nor any progress is known.
   */
  end(atMs: number): RunPace | undefined {
    const base = this.#begunAtMs === undefined ? this.#base : { percent: 0, atMs: this.#begunAtMs }
    const isMeasured = base !== undefined && (this.#begunAtMs !== undefined || base.percent > 0)
    const pace = isMeasured ? this.#measure(base, { percent: wholePercent, atMs }) : undefined
    this.isOver = true
    return pace
  }

  #measure(base: Reading, { percent, atMs }: Reading): RunPace | undefined {
    const elapsedMs = atMs - base.atMs
    if (percent - base.percent < gainedPercentMin || elapsedMs < elapsedMsMin) return undefined
    this.isOver = true
    return { progress: (percent - base.percent) / wholePercent, elapsedMs }
  }
}
