/** Turns measured points into figures: each point, and the slope of the straight line nearest to them. */
import type { FigureRow } from '../figureRow.js'
import type { Rates, RatesByRole } from './rates.js'

export interface Point {
  readonly size: number
  readonly rates: RatesByRole
}

const quantities: readonly { name: string; unit: string; of: (rates: Rates) => number }[] = [
  { name: 'cpu', unit: 'ms/s', of: (rates) => rates.cpuMsPerSecond },
  { name: 'bytes', unit: 'bytes/s', of: (rates) => rates.bytesPerSecond },
  { name: 'resident', unit: 'MiB', of: (rates) => rates.residentMebibytes },
]

/** `per` names what `size` counts, in the singular. */
export function describeSlope(name: string, per: string, points: readonly Point[]): FigureRow[] {
  const roles = Object.keys(points[0]?.rates ?? {})
  return roles.flatMap((role) =>
    quantities.flatMap((quantity) => {
      const values = points.flatMap(({ size, rates }) => {
        const found = rates[role]
        return found === undefined ? [] : [{ x: size, y: quantity.of(found) }]
      })
      const head = `capacity.${name}.${role}.${quantity.name}`
      return [
        ...values.map(({ x, y }) => ({ name: `${head}.at_${x}`, value: y, unit: quantity.unit })),
        { name: `${head}.slope`, value: fitSlope(values), unit: `${quantity.unit}/${per}` },
      ]
    }),
  )
}

/** Least squares. */
export function fitSlope(values: readonly { x: number; y: number }[]): number {
  const meanX = mean(values.map(({ x }) => x))
  const meanY = mean(values.map(({ y }) => y))
  const across = values.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0)
  const along = values.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  return across / along
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
