/** Who may have brought an upstream down, of all that was placed there. */
import { runKey } from '@nettlespur/batch.model'
import type { CrashBlame, Placement } from '@nettlespur/batch.state'

export interface BlameCrashOptions {
  /** All that was placed there. */
  placements: readonly Placement[]
  isProven: (placement: Placement) => boolean
  /** False while the order to start it is still on its way: the next life of the upstream may be the one to get it. */
  mayHaveStarted: (placement: Placement) => boolean
  isGang: (placement: Placement) => boolean
  /** It is certain that the upstream crashed: one that is only silent may be cut off, with all that runs there well. */
  isCertain: boolean
}

/** By run key. */
export function blameCrash(opts: BlameCrashOptions): Map<string, CrashBlame> {
  const { placements, isProven, mayHaveStarted, isCertain } = opts
  const started = placements.filter(mayHaveStarted)
  const fresh = started.filter((placement) => !isProven(placement))
  // Where all have been at work for a while, any of them may have done it.
  const suspects = fresh.length > 0 ? fresh : started
  const units = new Set(suspects.map((placement) => unitKey(placement, opts.isGang(placement))))
  const blame: CrashBlame = isCertain && fresh.length > 0 && units.size === 1 ? 'sole' : 'shared'
  const suspected = new Set(suspects.map(runKey))
  return new Map(
    placements.map(runKey).map((key) => [key, suspected.has(key) ? blame : ('none' as const)]),
  )
}

/** Members of a gang start together and are given up together. */
function unitKey(placement: Placement, isGang: boolean): string {
  const { jobId, step, attempt } = placement
  return isGang ? `${jobId}/${step}#${attempt}` : runKey(placement)
}
