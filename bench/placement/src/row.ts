/** One measured figure. */
export interface Row {
  readonly name: string
  readonly value: number
  readonly unit: string
}
