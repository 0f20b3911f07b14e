/**
 * `node bench/policy/bin/comparePolicies.js --mix rosters --days 1-24 --without speeds`: plays the same days with all parts
 * of the policy and without some, and prints the mean differences with their standard errors.
 */
import { parseArgs } from 'node:util'
import {
  compareVariants,
  dayKinds,
  type ComparedFigure,
  type CompareVariantsOptions,
} from './compareVariants.js'
import { cscfba, fsww, scaleDemand, shifted, thapa } from './deployment.js'
import { builds, rosters } from './hardDeployments.js'
import { allParts, findPart } from './policyParts.js'

const deployments = [rosters, builds, thapa, cscfba, fsww, shifted]
const usageExitCode = 2
const usage = [
  'usage: comparePolicies [--mix NAME]... [--days FIRST-LAST] [--without PART]... [--kind KIND]... [--load TIMES] [--known-speeds]',
  `mixes: ${deployments.map(({ name }) => name).join(' ')}`,
  `parts: ${Object.keys(allParts).join(' ')}`,
  `kinds: ${dayKinds.join(' ')}`,
].join('\n')

/** Returns the exit code: 0, or 2 for a wrong argument. */
export function comparePolicies(
  argv: readonly string[],
  print: (line: string) => void = printLine,
): number {
  const comparisons = readArguments(argv)
  if (comparisons === undefined) {
    print(usage)
    return usageExitCode
  }
  for (const comparison of comparisons) {
    const { deployment, dayKind, seeds, without } = comparison
    const lacking = without.length === 0 ? 'nothing' : without.join(',')
    print(`${deployment.name} ${dayKind} days=${seeds.length} without=${lacking}`)
    for (const figure of compareVariants(comparison)) print(formatFigure(figure))
  }
  return 0
}

function formatFigure({ name, without, difference, standardError, ...rest }: ComparedFigure) {
  const values = [without, rest.with, difference, standardError].map((value) => {
    return Number(value.toPrecision(4))
  })
  const [before, after, change, error] = values
  return `  ${name} ${before} -> ${after} difference ${change} +- ${error}`
}

/** Returns undefined if any argument is wrong. */
function readArguments(argv: readonly string[]): CompareVariantsOptions[] | undefined {
  const values = parse(argv)
  if (values === undefined) return undefined
  const { mix = ['rosters'], days = '1-24', load = '1', kind = [...dayKinds] } = values
  const areSpeedsKnown = values['known-speeds'] === true
  const mixes = mix.map((name) => deployments.find((deployment) => deployment.name === name))
  const without = (values.without ?? []).map(findPart)
  const chosen = kind.map((name) => dayKinds.find((dayKind) => dayKind === name))
  const seeds = readSeeds(days)
  const times = Number(load)
  if (seeds.length === 0 || !(times > 0)) return undefined
  const parts = keepKnown(without)
  const kinds = keepKnown(chosen)
  const known = keepKnown(mixes)
  if (parts === undefined || kinds === undefined || known === undefined) return undefined
  return known.flatMap((deployment) => {
    const scaled = scaleDemand(deployment, times)
    return kinds.map((dayKind) => {
      return { deployment: scaled, dayKind, seeds, without: parts, areSpeedsKnown }
    })
  })
}

/** Returns undefined if any is unknown. */
function keepKnown<T>(found: readonly (T | undefined)[]): T[] | undefined {
  const known = found.filter((value) => value !== undefined)
  return known.length === found.length ? known : undefined
}

function parse(argv: readonly string[]) {
  const many = { type: 'string', multiple: true } as const
  const one = { type: 'string' } as const
  const options = {
    mix: many,
    days: one,
    without: many,
    kind: many,
    load: one,
    'known-speeds': { type: 'boolean' } as const,
  }
  try {
    return parseArgs({ args: [...argv], options, strict: true }).values
  } catch {
    return undefined
  }
}

/** Returns an empty list if the days are not given as `FIRST-LAST`. */
function readSeeds(days: string): number[] {
  const [, first, last] = /^(\d+)-(\d+)$/.exec(days) ?? []
  const count = Number(last) - Number(first) + 1
  if (!(count > 0)) return []
  return Array.from({ length: count }, (_, at) => Number(first) + at)
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`)
}
