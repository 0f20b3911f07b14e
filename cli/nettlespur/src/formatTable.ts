/** Tables for people: left-aligned columns under headings. */
import { maxOf } from '@nettlespur/core.lists'

export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const lines = [headings, ...rows].map((row) => row.map(String))
  const widths = headings.map((_, column) => maxOf(lines.map((line) => line[column]?.length ?? 0)))
  return lines
    .map((line) =>
      line
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n')
}
