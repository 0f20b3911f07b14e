/**
 * Polls control until an accepted contract is in force at every live entry, for at most `waitMaxMs`. The contract remains
 * accepted whatever the result: if control does not answer, the result says that it is not known to be in force.
 */
import type { ContractRecord } from '@nettlespur/api.schemas'
import type { ContractView } from '@nettlespur/control.api'
import type { EntryContext } from './entryContext.js'

const waitMaxMs = 10_000
const pollIntervalMs = 100

/** At which entries a contract is in force, as far as control answered in time. */
export interface InForceStatus {
  /** Whether every live entry enforces this revision or a newer one. */
  readonly inForce: boolean
  readonly inForceAt: readonly string[]
  readonly notYetInForceAt: readonly string[]
}

export async function awaitInForce(
  context: EntryContext,
  record: ContractRecord,
  callerGone: AbortSignal,
): Promise<InForceStatus> {
  const endMs = context.clock.monotonicMs() + waitMaxMs
  let status: InForceStatus = { inForce: false, inForceAt: [], notYetInForceAt: [] }
  for (;;) {
    const outcome = await context.control.listContracts(record.contract.workspace).run()
    outcome.ifRight(([view]) => {
      if (view !== undefined) status = toStatus(view, record)
    })
    const isOver = context.clock.monotonicMs() >= endMs || callerGone.aborted
    if (status.inForce || isOver || context.drain.refusal() !== undefined) return status
    await context.clock.sleep(pollIntervalMs, callerGone)
  }
}

function toStatus(view: ContractView, record: ContractRecord): InForceStatus {
  const { inForceAt, notYetInForceAt } = view
  const inForce = view.revision >= record.revision && notYetInForceAt.length === 0
  return { inForce, inForceAt, notYetInForceAt }
}
