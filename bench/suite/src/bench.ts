/** One bench: a name to choose it by, and the function that measures. */

/** One measured figure. */
export interface FigureRow {
  readonly name: string
  readonly value: number
  /** The unit of `value`, such as `ms`, `bytes/s` or `ratio`. */
  readonly unit: string
}

export type Measure = () => Promise<readonly FigureRow[]>

export interface Bench {
  readonly name: string
  /** Loads the bench only where it is to run. */
  readonly load: () => Promise<Measure>
}
