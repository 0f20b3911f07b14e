/** Claims in the real replicated state, without a log. Every workspace gets a contract, so that any may claim. */
import type { Claim, ClaimChange, ClaimKey } from '@nettlespur/api.schemas'
import { isResolved, readClaim, StateHolder, type Command } from '@nettlespur/control.state'
import type { Clock } from '@nettlespur/core.clock'
import { toRpcResult, tryAsync, type RpcResult } from '@nettlespur/core.errors'
import { createContract } from './samples.js'

const lifetimeMs = 600_000

export class FakeClaims {
  readonly holder = new StateHolder()
  readonly #clock: Clock
  readonly #workspaces = new Set<string>()

  constructor(clock: Clock) {
    this.#clock = clock
  }

  get(key: ClaimKey): Claim | undefined {
    return this.holder.state.getClaim(key)
  }

  /** Applies the changes, and returns a result for each, as control does. */
  changeAll(changes: readonly ClaimChange[]): Promise<RpcResult<Claim>[]> {
    const commit = (change: ClaimChange): Promise<RpcResult<Claim>> =>
      toRpcResult(tryAsync(() => Promise.resolve(this.change(change))))
    return Promise.all(changes.map(commit))
  }

  /** Errors: throws those of the state. */
  change(change: ClaimChange): Claim {
    this.#ensureContract(change.workspace)
    return this.apply({ type: 'claim.change', at: this.#now(), change, lifetimeMs })
  }

  /** Resolves once the outcome of a claim is known, or after `waitMs`. */
  async awaitOutcome(key: ClaimKey, waitMs: number): Promise<void> {
    const resolved = new AbortController()
    const subscription = this.holder.applied.subscribe(() => {
      const claim = this.get(key)
      if (claim === undefined || isResolved(claim)) resolved.abort()
    })
    if (waitMs > 0) await this.#clock.sleep(waitMs, resolved.signal)
    subscription.unsubscribe()
  }

  apply(command: Command): Claim {
    const result = this.holder.apply(this.holder.state.appliedIndex + 1, command)
    return readClaim(result)
      .mapLeft((error): never => {
        throw error
      })
      .unsafeCoerce()
  }

  #ensureContract(workspace: string): void {
    if (this.#workspaces.has(workspace)) return
    this.#workspaces.add(workspace)
    const contract = createContract({ workspace })
    const change = { changeId: workspace, expectedRevision: 0, contract }
    this.holder.apply(this.holder.state.appliedIndex + 1, {
      type: 'contract.apply',
      at: this.#now(),
      change,
    })
  }

  #now(): string {
    return this.#clock.now().toISOString()
  }
}
