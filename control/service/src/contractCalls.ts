/**
 * Handles the contract changes of operators. A contract is accepted only if its guaranteed shapes fit
 * beside those of all other contracts. Changes are checked and committed one at a time, so that two of them
 * never rely on the same capacity.
 */
import type { ContractChange, ContractRecord } from '@nettlespur/api.schemas'
import { readContract } from '@nettlespur/control.state'
import { NettlespurError, unwrap } from '@nettlespur/core.errors'
import { findInfeasibility } from '@nettlespur/placement.plan'
import { EitherAsync } from 'purify-ts'
import { createPlacementView } from './createPlacementView.js'
import type { LeaderSession } from './leaderSession.js'
import type { ControlNodeOptions } from './nodeOptions.js'

const upstreamsUnknownRetryAfterMs = 1000

export class ContractCalls {
  readonly #opts: ControlNodeOptions
  #lastChange: Promise<unknown> = Promise.resolve()

  constructor(opts: ControlNodeOptions) {
    this.#opts = opts
  }

  apply(session: LeaderSession, change: ContractChange): Promise<ContractRecord> {
    const applied = this.#lastChange.then(() => this.#applyNext(session, change))
    this.#lastChange = applied.catch(() => undefined)
    return applied
  }

  async #applyNext(session: LeaderSession, change: ContractChange): Promise<ContractRecord> {
    this.#checkFeasible(session, change)
    const { log, clock, logger } = this.#opts
    const at = clock.now().toISOString()
    const committed = log
      .propose({ type: 'contract.apply', at, change })
      .chain((result) => EitherAsync.liftEither(readContract(result)))
    const record = await unwrap(committed)
    const { workspace } = record.contract
    const { changeId } = change
    logger.info({ event: 'contract.accepted', workspace, revision: record.revision, changeId })
    return record
  }

  /** Skips resent and stale changes: the log answers those, whether or not they would fit now. */
  #checkFeasible(session: LeaderSession, change: ContractChange): void {
    const { state } = this.#opts.holder
    const { contract, changeId, expectedRevision } = change
    const revision = state.getContract(contract.workspace)?.revision ?? 0
    if (state.hasChange(changeId) || revision !== expectedRevision) return
    const upstreams = session.upstreams.list()
    const wasInUse = state.listContracts().length > 0
    // A cluster with neither upstreams nor contracts yet cannot be checked; the placement plan reports what
    // is missing.
    if (upstreams.length === 0 && !wasInUse) return
    const withSuspectsReady = upstreams.map((view) => {
      return view.state === 'suspect' ? { ...view, state: 'ready' as const } : view
    })
    const now = this.#opts.clock.now()
    const view = createPlacementView({ state, upstreams: withSuspectsReady, now })
    const infeasible = findInfeasibility(view, contract)
    if (infeasible === undefined) return
    if (!session.knowsUpstreams) {
      const message = 'not all upstreams have announced themselves to the new leader yet'
      throw new NettlespurError('no-upstream', message, {
        retryAfterMs: upstreamsUnknownRetryAfterMs,
      })
    }
    const { message, wouldFit } = infeasible
    throw new NettlespurError('infeasible-contract', message, { hint: `would fit: ${wouldFit}` })
  }
}
