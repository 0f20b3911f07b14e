/** A figure as one line: `name value unit`, the value with four significant digits. */
import type { FigureRow } from './bench.js'

const significantDigits = 4

export function formatRow({ name, value, unit }: FigureRow): string {
  return `${name} ${Number(value.toPrecision(significantDigits))} ${unit}`
}
