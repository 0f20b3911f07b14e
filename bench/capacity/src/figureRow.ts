/** One measured figure, as the bench suite prints it. */
export interface FigureRow {
  readonly name: string
  readonly value: number
  readonly unit: string
}
