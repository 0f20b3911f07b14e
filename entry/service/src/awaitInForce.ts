/**
 * Waits until an accepted contract is in force at every live entry, within a bound. The change stands
 * whatever this finds: where control cannot be asked, the answer says only that it is not known yet.
 */
import type { ContractRecord } from '@nettlespur/api.schemas'
import type { ContractView } from '@nettlespur/control.api'
import type { EntryContext } from './entryContext.js'

const longestWaitMs = 10_000
const lookEveryMs = 100

/** Where a contract is in force, as far as could be learned in time. */
export interface InForceStanding {
  /** True where every live entry enforces this revision or a newer one. */
  readonly inForce: boolean
  readonly inForceAt: readonly string[]
  readonly notYetInForceAt: readonly string[]
}

export async function awaitInForce(
  context: EntryContext,
  record: ContractRecord,
  callerGone: AbortSignal,
): Promise<InForceStanding> {
  const endMs = context.clock.monotonicMs() + longestWaitMs
  let standing: InForceStanding = { inForce: false, inForceAt: [], notYetInForceAt: [] }
  for (;;) {
    const found = await context.control.listContracts(record.contract.workspace).run()
    found.ifRight(([view]) => {
      if (view !== undefined) standing = judge(view, record)
    })
    const over = context.clock.monotonicMs() >= endMs || callerGone.aborted
    if (standing.inForce || over || context.drain.refusal() !== undefined) return standing
    await context.clock.sleep(lookEveryMs, callerGone)
  }
}

function judge(view: ContractView, record: ContractRecord): InForceStanding {
  const { inForceAt, notYetInForceAt } = view
  const inForce = view.revision >= record.revision && notYetInForceAt.length === 0
  return { inForce, inForceAt, notYetInForceAt }
}
