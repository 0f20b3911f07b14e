/** Handles the calls of entries about claims; runs on the leader. */
import type { Claim, ClaimChange, ClaimQuery } from '@nettlespur/api.schemas'
import { waitForWake } from '@nettlespur/control.gangs'
import { isResolved, readClaim } from '@nettlespur/control.state'
import { toRpcResult, unwrap, type RpcResult } from '@nettlespur/core.errors'
import { EitherAsync } from 'purify-ts'
import { filter } from 'rxjs'
import type { LeaderSession } from './leaderSession.js'
import { defaultClaimLifetimeMs, type ControlNodeOptions } from './nodeOptions.js'

export class ClaimCalls {
  readonly #opts: ControlNodeOptions
  readonly #session: LeaderSession

  constructor(opts: ControlNodeOptions, session: LeaderSession) {
    this.#opts = opts
    this.#session = session
  }

  /** Proposes all changes concurrently, so that the log can commit them with one sync. */
  change(changes: readonly ClaimChange[]): Promise<RpcResult<Claim>[]> {
    const { log, clock, timings } = this.#opts
    const at = clock.now().toISOString()
    const lifetimeMs = timings.claimLifetimeMs ?? defaultClaimLifetimeMs
    const commit = (change: ClaimChange): Promise<RpcResult<Claim>> =>
      toRpcResult(
        log
          .propose({ type: 'claim.change', at, change, lifetimeMs })
          .chain((result) => EitherAsync.liftEither(readClaim(result))),
      )
    return Promise.all(changes.map(commit))
  }

  /** Waits up to `waitMs` for the claim to be resolved. Returns null if there is no such claim. */
  async awaitClaim({ waitMs, ...key }: ClaimQuery): Promise<Claim | null> {
    const { clock, holder, log } = this.#opts
    await unwrap(log.readBarrier())
    const isOpen = (): boolean => {
      const claim = holder.state.getClaim(key)
      return claim !== undefined && !isResolved(claim)
    }
    const resolved = holder.applied.pipe(filter(() => !isOpen()))
    await waitForWake(clock, waitMs, resolved, this.#session.ended)
    await unwrap(log.readBarrier())
    return holder.state.getClaim(key) ?? null
  }
}
