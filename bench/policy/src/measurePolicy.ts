/** What jobs earn on crowded days, and what a round of decisions costs as the deployment grows. */
import type { Row } from '@nettlespur/bench.placement'
import { minOf } from '@nettlespur/core.lists'
import { boundEarnings } from './boundEarnings.js'
import { createCrashingDay, createCrowdedDay, createTroubledDay } from './crowdedDay.js'
import { cscfba, fsww, growDeployment, shifted, thapa, type Deployment } from './deployment.js'
import { createEvacuatedDay } from './evacuatedDay.js'
import type { DayParts } from './judgeDay.js'
import type { DayResult } from './measureDay.js'
import { playDay } from './playDay.js'

export interface PolicyMeasureOptions {
  /** Days of each deployment. */
  days?: number
  /** Upstreams of the grown deployments, one day each. */
  grownUpstreams?: readonly number[]
}

const defaultDays = 40
/** A day of 245 upstreams takes as long as several of 33. */
const shiftedDaysShare = 5
const defaultGrownUpstreams = [30, 245, 690]

export async function measurePolicy(opts: PolicyMeasureOptions = {}): Promise<Row[]> {
  const { days = defaultDays, grownUpstreams = defaultGrownUpstreams } = opts
  const deployments = [thapa, cscfba, fsww]
  const earned = deployments.flatMap((deployment) => measureEarnings(deployment, days))
  const troubled = deployments.flatMap((deployment) => measureTroubledDays(deployment, days))
  const crashing = deployments.flatMap((deployment) => measureCrashingDays(deployment, days))
  const evacuated = measureEvacuatedDays(shifted, Math.ceil(days / shiftedDaysShare))
  const costs = grownUpstreams.flatMap((count) => measureCost(growDeployment(cscfba, count)))
  return Promise.resolve([...earned, ...troubled, ...crashing, ...evacuated, ...costs])
}

function measureEarnings(deployment: Deployment, days: number): Row[] {
  const results = playDays(deployment, days)
  const prefix = `policy.${deployment.name}`
  const kinds = deployment.kinds.map(({ name }) => {
    const shares = results.map(({ kinds: earnings }) => earnings.get(name))
    const earned = shares.reduce((sum, share) => sum + (share?.earned ?? 0), 0)
    const owed = shares.reduce((sum, share) => sum + (share?.owed ?? 0), 0)
    return { name: `${prefix}.${name}`, value: earned / owed, unit: 'ratio' }
  })
  const bounds = results.map(({ bound }) => bound)
  const worths = results.map(({ worth }) => worth)
  const heldUpDays = results.filter(({ heldUp }) => heldUp > 0).length
  const wasted = results.map(({ wastedCoreSeconds }) => wastedCoreSeconds)
  return [
    { name: `${prefix}.worth`, value: meanOf(worths), unit: 'ratio' },
    { name: `${prefix}.bound`, value: meanOf(bounds), unit: 'ratio' },
    { name: `${prefix}.of_bound`, value: meanOf(worths) / meanOf(bounds), unit: 'ratio' },
    { name: `${prefix}.worst`, value: minOf(worths), unit: 'ratio' },
    ...kinds,
    { name: `${prefix}.held_up_days`, value: heldUpDays / results.length, unit: 'ratio' },
    { name: `${prefix}.wasted`, value: meanOf(wasted), unit: 'core_s' },
  ]
}

const partRows: Readonly<Record<keyof DayParts, string>> = {
  wholeDay: 'whole_day',
  worstWindows: 'worst_windows',
  worstKind: 'worst_kind',
  worstWorkspace: 'worst_workspace',
  servedInNines: 'served_in_nines',
}

/** By what the users of the deployment count. */
function measureTroubledDays(deployment: Deployment, days: number): Row[] {
  const results = Array.from({ length: days }, (_, at) => {
    return playDay(createTroubledDay(deployment, at + 1), at + 1)
  })
  const prefix = `policy.${deployment.name}.troubled`
  const verdicts = results.map(({ verdict }) => verdict)
  const parts = Object.entries(partRows).map(([part, name]) => {
    const values = verdicts.map((verdict) => verdict[part as keyof DayParts])
    return { name: `${prefix}.${name}`, value: meanOf(values), unit: 'ratio' }
  })
  const wasted = results.map(({ wastedCoreSeconds }) => wastedCoreSeconds)
  const unserved = verdicts.map((verdict) => verdict.unserved)
  return [
    { name: `${prefix}.total`, value: meanOf(verdicts.map(({ total }) => total)), unit: 'ratio' },
    ...parts,
    { name: `${prefix}.unserved`, value: meanOf(unserved), unit: 'ratio' },
    { name: `${prefix}.wasted`, value: meanOf(wasted), unit: 'core_s' },
  ]
}

/** Days on which some jobs bring down the upstreams that start them. */
function measureCrashingDays(deployment: Deployment, days: number): Row[] {
  const results = Array.from({ length: days }, (_, at) => {
    return playDay(createCrashingDay(deployment, at + 1), at + 1)
  })
  const prefix = `policy.${deployment.name}.crashing`
  const totals = results.map(({ verdict }) => verdict.total)
  return [
    { name: `${prefix}.total`, value: meanOf(totals), unit: 'ratio' },
    { name: `${prefix}.crashes`, value: meanOf(results.map((day) => day.crashes)), unit: 'count' },
    {
      name: `${prefix}.given_up_sound`,
      value: meanOf(results.map((day) => day.givenUpSound)),
      unit: 'jobs',
    },
  ]
}

/** Days on which a data centre is evacuated, as a share of what is possible. */
function measureEvacuatedDays(deployment: Deployment, days: number): Row[] {
  const results = Array.from({ length: days }, (_, at) => {
    const day = createEvacuatedDay(deployment, at + 1)
    return { ...playDay(day, at + 1), bound: boundEarnings(day) }
  })
  const prefix = `policy.${deployment.name}.evacuated`
  const worth = meanOf(results.map((result) => result.worth))
  const bound = meanOf(results.map((result) => result.bound))
  const totals = results.map(({ verdict }) => verdict.total)
  return [
    { name: `${prefix}.total`, value: meanOf(totals), unit: 'ratio' },
    { name: `${prefix}.worth`, value: worth, unit: 'ratio' },
    { name: `${prefix}.of_bound`, value: worth / bound, unit: 'ratio' },
  ]
}

function measureCost(deployment: Deployment): Row[] {
  const { roundsMs } = playDay(createCrowdedDay(deployment, 1), 1)
  const sorted = [...roundsMs].sort((left, right) => left - right)
  const prefix = `policy.${deployment.name}.round`
  return [
    { name: `${prefix}_mean`, value: meanOf(roundsMs), unit: 'ms' },
    { name: `${prefix}_p99`, value: sorted[Math.floor(sorted.length * 0.99)] ?? 0, unit: 'ms' },
  ]
}

interface BoundedResult extends DayResult {
  readonly bound: number
}

function playDays(deployment: Deployment, days: number): BoundedResult[] {
  return Array.from({ length: days }, (_, at) => {
    const seed = at + 1
    const day = createCrowdedDay(deployment, seed)
    return { ...playDay(day, seed), bound: boundEarnings(day) }
  })
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
