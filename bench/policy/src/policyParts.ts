/** Parts of the scheduler's policy that a day can be played without. */
import type { BuildSchedulerViewOptions } from '@nettlespur/batch.service'

export interface PolicyParts {
  /** Whether the leader learns how fast upstreams are, and places work by it. */
  readonly speeds: boolean
  /** Whether the leader knows how fast upstreams are without learning it, which shows what better learning could gain. */
  readonly knownSpeeds: boolean
  /** Whether gangs and urgent work avoid upstreams that have lately crashed, been lost or failed runs. */
  readonly stability: boolean
  /** Whether guaranteed units that have to get their capacity at once go first. */
  readonly claims: boolean
  /** Whether work with slack leaves capacity free for urgent work. */
  readonly headroom: boolean
  /** Whether work that starves gives up its preferences. */
  readonly relaxation: boolean
}

export type PolicyPart = keyof PolicyParts

export const allParts: PolicyParts = {
  speeds: true,
  knownSpeeds: false,
  stability: true,
  claims: true,
  headroom: true,
  relaxation: true,
}

/** The parts that are on with the settings of a control instance left out. */
export const defaultParts: PolicyParts = {
  ...allParts,
  speeds: false,
  claims: false,
  headroom: false,
}

/** Returns undefined if no part has this name. */
export function findPart(name: string): PolicyPart | undefined {
  return Object.keys(allParts).find((part): part is PolicyPart => part === name)
}

/** Leaves the input of a round without what the missing parts would see; for `speeds` see `PlayedSpeeds`. */
export function leaveOutParts(
  opts: BuildSchedulerViewOptions,
  { stability, claims, headroom, relaxation }: PolicyParts,
): BuildSchedulerViewOptions {
  return {
    ...opts,
    ...(stability ? {} : { isUnstable: () => false }),
    ...(claims ? {} : { claimBounds: undefined }),
    ...(headroom ? {} : { headroom: undefined }),
    ...(relaxation ? {} : { starvedMs: () => 0 }),
  }
}
