/** Runs the benches of the repository and prints one line a figure. */
export type { Bench, FigureRow, Measure } from './bench.js'
export { main, type MainOptions } from './main.js'
