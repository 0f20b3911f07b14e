/** Applies an operator's contract change, with optimistic concurrency control by revision. */
import type { ContractChange } from '@nettlespur/api.schemas'
import type { CommandOf } from './command.js'
import { refuse, type CommandResult } from './commandResult.js'
import { digestValue } from './digestValue.js'
import { changeIdsMax } from './retention.js'
import type { ChangeRecord, StateData } from './stateData.js'

/**
 * Idempotent by change id: a resent change returns its first result, even if newer revisions have been
 * accepted since.
 */
export function applyContract(
  data: StateData,
  index: number,
  { change }: CommandOf<'contract.apply'>,
): CommandResult {
  const digest = digestValue(change)
  const earlier = data.changes.get(change.changeId)
  if (earlier !== undefined) return repeatFirstResult(change, earlier, digest)
  const { workspace } = change.contract
  const present = data.contracts.get(workspace)
  const revision = present?.record.revision ?? 0
  if (change.expectedRevision !== revision) {
    const winner = present === undefined ? '' : `, made by change ${present.changeId}`
    return refuse(
      'stale-revision',
      `the contract of ${workspace} is at revision ${revision}${winner}; the change expected ${change.expectedRevision}`,
      { hint: 'read the contract again and resend the change with the current revision' },
    )
  }
  const record = { contract: change.contract, revision: revision + 1, changeIndex: index }
  data.contracts.set(workspace, { record, changeId: change.changeId })
  data.contractIndex = index
  recordChange(data, change.changeId, { digest, revision: record.revision, changeIndex: index })
  return { type: 'contract', record }
}

function repeatFirstResult(
  change: ContractChange,
  earlier: ChangeRecord,
  digest: string,
): CommandResult {
  if (earlier.digest !== digest) {
    return refuse(
      'change-id-conflict',
      `change ${change.changeId} was already accepted with a different body, at change index ${earlier.changeIndex}`,
      { hint: 'use a new change id for a new change' },
    )
  }
  const { revision, changeIndex } = earlier
  return { type: 'contract', record: { contract: change.contract, revision, changeIndex } }
}

function recordChange(data: StateData, changeId: string, record: ChangeRecord): void {
  data.changes.set(changeId, record)
  for (const oldest of data.changes.keys()) {
    if (data.changes.size <= changeIdsMax) return
    data.changes.delete(oldest)
  }
}
