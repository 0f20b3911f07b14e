/**
 * Takes an unresolved claim away from its entry by raising its fence. Later changes by that entry have no
 * effect.
 */
import { isResolved } from './claimTable.js'
import type { CommandOf } from './command.js'
import { refuse, type CommandResult } from './commandResult.js'
import type { StateData } from './stateData.js'

export function takeClaim(
  data: StateData,
  index: number,
  { at, workspace, key, fence }: CommandOf<'claim.take'>,
): CommandResult {
  const claim = data.claims.get(workspace)?.get(key)
  if (claim === undefined) return refuse('unknown-job', `no claim for key ${key}`)
  if (claim.fence !== fence || isResolved(claim)) return { type: 'claim', claim }
  const outcome = claim.outcome ?? {
    kind: 'unknown' as const,
    reason: 'its entry was overtaken',
  }
  const taken = { ...claim, fence: index, changedAt: at, outcome }
  data.claims.get(workspace)?.put(taken)
  return { type: 'claim', claim: taken }
}
