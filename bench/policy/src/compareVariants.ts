/** Plays the same days with and without some parts of the policy. */
import { createCrowdedDay, createTroubledDay, type CrowdedDay } from './crowdedDay.js'
import type { Deployment } from './deployment.js'
import type { DayResult } from './measureDay.js'
import { computePairedDifference, type PairedDifference } from './pairedDifference.js'
import { playDay } from './playDay.js'
import { allParts, type PolicyPart, type PolicyParts } from './policyParts.js'

export const dayKinds = ['crowded', 'troubled'] as const
export type DayKind = (typeof dayKinds)[number]

export interface CompareVariantsOptions {
  deployment: Deployment
  dayKind: DayKind
  seeds: readonly number[]
  /** Parts that one of the variants lacks. */
  without: readonly PolicyPart[]
  /** Whether both variants know the speeds of upstreams from the beginning. */
  areSpeedsKnown: boolean
}

export interface ComparedFigure extends PairedDifference {
  readonly name: string
}

const creators: Readonly<Record<DayKind, (deployment: Deployment, seed: number) => CrowdedDay>> = {
  crowded: createCrowdedDay,
  troubled: createTroubledDay,
}

const figures: Readonly<Record<string, (day: DayResult) => number>> = {
  total: ({ verdict }) => verdict.total,
  whole_day: ({ verdict }) => verdict.wholeDay,
  worst_kind: ({ verdict }) => verdict.worstKind,
  worst_workspace: ({ verdict }) => verdict.worstWorkspace,
  wasted_core_s: ({ wastedCoreSeconds }) => wastedCoreSeconds,
  urgent_on_time: ({ urgentOnTimeShare }) => urgentOnTimeShare,
  large: ({ kinds }) => shareOf(kinds.get('large')),
  background: ({ kinds }) => shareOf(kinds.get('background')),
  unserved: ({ verdict }) => verdict.unserved,
  stopped_runs: ({ stoppedRuns }) => stoppedRuns,
  round_mean_ms: ({ roundsMs }) => roundsMs.reduce((sum, ms) => sum + ms, 0) / roundsMs.length,
  round_p99_ms: ({ roundsMs }) => {
    return (
      [...roundsMs].sort((left, right) => left - right)[Math.floor(roundsMs.length * 0.99)] ?? 0
    )
  },
}

export function compareVariants(opts: CompareVariantsOptions): ComparedFigure[] {
  const { deployment, dayKind, seeds } = opts
  const whole = { ...allParts, knownSpeeds: opts.areSpeedsKnown }
  const lacking = { ...whole, ...toSwitchedOff(opts.without) }
  const pairs = seeds.map((seed) => {
    const day = creators[dayKind](deployment, seed)
    return { with: playDay(day, seed, whole), without: playDay(day, seed, lacking) }
  })
  return Object.entries(figures).map(([name, read]) => {
    const withParts = pairs.map((pair) => read(pair.with))
    const without = pairs.map((pair) => read(pair.without))
    return { name, ...computePairedDifference(withParts, without) }
  })
}

function toSwitchedOff(parts: readonly PolicyPart[]): Partial<PolicyParts> {
  return Object.fromEntries(parts.map((part) => [part, false]))
}

/** 1 on a day without such jobs. */
function shareOf(earnings: { earned: number; owed: number } | undefined): number {
  return earnings === undefined ? 1 : earnings.earned / earnings.owed
}
