/** One figure of a run. */
export interface MeasuredRow {
  readonly name: string
  readonly value: number
  readonly unit: string
}
