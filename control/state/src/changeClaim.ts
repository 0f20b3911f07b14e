/**
 * Opens, moves and settles claims. Unless refused, each change returns the claim as it stands afterwards,
 * whether or not the change took effect.
 */
import {
  claimAnswerBytesMax,
  type Claim,
  type ClaimChange,
  type ClaimOutcome,
} from '@nettlespur/api.schemas'
import { addMs } from './addMs.js'
import { isResolved } from './claimTable.js'
import type { CommandOf } from './command.js'
import { refuse, type CommandResult } from './commandResult.js'
import { claimsMax } from './retention.js'
import { getOrCreateClaims, type StateData } from './stateData.js'

const retryAfterMs = 5000

type ChangeClaim = CommandOf<'claim.change'>
type ClaimChangeOf<T extends ClaimChange['type']> = Extract<ClaimChange, { type: T }>

export function changeClaim(data: StateData, index: number, command: ChangeClaim): CommandResult {
  const { change, at, lifetimeMs } = command
  data.claims.get(change.workspace)?.pruneExpired(data.timeMs, lifetimeMs)
  if (change.type === 'open') return openClaim(data, index, at, change)
  const claim = data.claims.get(change.workspace)?.get(change.key)
  if (claim === undefined) return refuse('unknown-job', `no claim for key ${change.key}`)
  // A holder with a stale fence gets the current claim, which tells it what became of the request.
  if (claim.fence !== change.fence || isResolved(claim)) return { type: 'claim', claim }
  if (change.type === 'settle') {
    return putClaim(data, { ...claim, changedAt: at, outcome: dropOversizedBody(change.outcome) })
  }
  const { entryId, target } = change
  return putClaim(data, {
    ...claim,
    entryId,
    target,
    fence: index,
    changedAt: at,
    outcome: undefined,
  })
}

function openClaim(
  data: StateData,
  index: number,
  at: string,
  change: ClaimChangeOf<'open'>,
): CommandResult {
  const { workspace, key, bodySha256, entryId, target } = change
  if (!data.contracts.has(workspace)) {
    return refuse('unknown-workspace', `no contract for workspace ${workspace}`)
  }
  const claims = data.claims.get(workspace)
  const known = claims?.get(key)
  if (known !== undefined && known.bodySha256 !== bodySha256) {
    return refuse('idempotency-conflict', 'the key was used with another body', {
      hint: 'use a new idempotency key for a new request',
    })
  }
  // A request that is confirmed not to have run may be retried under its key.
  if (known !== undefined && known.outcome?.kind !== 'not-run') {
    return { type: 'claim', claim: known }
  }
  if (known === undefined && (claims?.size ?? 0) >= claimsMax) {
    return refuse(
      'over-limit',
      `${claimsMax} keys of workspace ${workspace} are already kept, the maximum`,
      {
        retryAfterMs,
        hint: 'a key is kept after its outcome is known, for the claim lifetime in the settings',
      },
    )
  }
  const resolveFrom = addMs(at, change.remainingMs)
  const fields = { workspace, key, bodySha256, entryId, target }
  return putClaim(data, { ...fields, fence: index, changedAt: at, resolveFrom })
}

function putClaim(data: StateData, claim: Claim): CommandResult {
  getOrCreateClaims(data, claim.workspace).put(claim)
  return { type: 'claim', claim }
}

function dropOversizedBody(outcome: ClaimOutcome): ClaimOutcome {
  if (outcome.kind !== 'answered' || outcome.bodyBytes <= claimAnswerBytesMax) return outcome
  return { ...outcome, bodyBase64: undefined }
}
