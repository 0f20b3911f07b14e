/**
 * Lists the groups of upstreams that a unit prefers. Urgent work gets upstreams on which it ends on time. Work with slack
 * leaves them to it, as long as others are fast enough. The slowest member decides how fast a gang is, so that gangs get
 * either slow upstreams or others, and mix them only if neither have room. The failure of one member ends the whole gang,
 * so that gangs and urgent work get unstable upstreams last among those of the same speed.
 */
import { urgentPriority } from './urgentPriority.js'
import type { NeededSpeed } from './neededSpeed.js'
import { isFastEnough, isTooSlow, type PoolSpeeds } from './poolSpeeds.js'
import type { StartUnit } from './startUnit.js'
import { allUpstreams, stableUpstreams, toStable, type UpstreamGroup } from './upstreamGroup.js'

export interface ListGroupsOptions {
  unit: StartUnit
  pool: PoolSpeeds
  needed: NeededSpeed
}

/** Returns the groups in the order in which they are tried; undefined if the unit has no preference. */
export function listGroups(opts: ListGroupsOptions): readonly UpstreamGroup[] | undefined {
  const { unit, pool, needed } = opts
  const avoidsUnstable = pool.hasUnstable && (unit.step.isGang || isUrgent(unit))
  if (!pool.isGraded) return avoidsUnstable ? [stableUpstreams, allUpstreams] : undefined
  if (isUrgent(unit) && needed.isForOnTimeEnd) return listUrgentGroups(opts)
  const groups = listSlackGroups(opts)
  return avoidsUnstable ? [...toStable(groups), ...groups] : groups
}

export function isUrgent({ job }: StartUnit): boolean {
  return job.queue.priority === urgentPriority
}

/** Returns the groups of upstreams that are not too slow for an urgent unit, in the order in which they are tried. */
export function listFastGroups({ pool, needed: { speed } }: ListGroupsOptions): UpstreamGroup[] {
  const isFast: UpstreamGroup = (upstream) => isFastEnough(upstream, speed)
  const isNotSlow: UpstreamGroup = (upstream) => !isTooSlow(upstream, speed)
  return pool.hasUnstable ? [...toStable([isFast, isNotSlow]), isNotSlow] : [isFast, isNotSlow]
}

function listUrgentGroups(opts: ListGroupsOptions): UpstreamGroup[] {
  const { pool, needed } = opts
  const isSlow: UpstreamGroup = (upstream) => isTooSlow(upstream, needed.speed)
  const slow = pool.hasUnstable ? [...toStable([isSlow]), isSlow] : [isSlow]
  return [...listFastGroups(opts), ...slow, allUpstreams]
}

function listSlackGroups({ unit, pool, needed: { speed } }: ListGroupsOptions): UpstreamGroup[] {
  const isSlowEnough: UpstreamGroup = (upstream) =>
    pool.isSlow(upstream) && isFastEnough(upstream, speed)
  const isUnknown: UpstreamGroup = ({ view }) => !view.speed.isKnown
  const isNotSlow: UpstreamGroup = (upstream) => !pool.isSlow(upstream)
  if (unit.step.isGang) return [isSlowEnough, isUnknown, isNotSlow, allUpstreams]
  return [isUnknown, isSlowEnough, isUnknown, allUpstreams]
}

/**
 * Whether single tasks are spread over the upstreams of the first group, one on each. Their runs are how speeds become
 * known, and those of one step are compared with each other.
 */
export function isExploring(unit: StartUnit, pool: PoolSpeeds): boolean {
  return pool.isGraded && !unit.step.isGang && !isUrgent(unit)
}
