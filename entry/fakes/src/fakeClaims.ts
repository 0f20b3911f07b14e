/** Claims as the real replicated state keeps them, without a log. Any workspace may claim. */
import type { Claim, ClaimChange, ClaimKey } from '@nettlespur/api.schemas'
import { isResolved, readClaim, StateHolder, type Command } from '@nettlespur/control.state'
import type { Clock } from '@nettlespur/core.clock'
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

  /** Throws what the state refuses. */
  change(change: ClaimChange): Claim {
    this.#admit(change.workspace)
    return this.apply({ type: 'claim.change', at: this.#now(), change, lifetimeMs })
  }

  /** Resolves once the outcome of a claim is known, or after `waitMs`. */
  async awaitOutcome(key: ClaimKey, waitMs: number): Promise<void> {
    const known = new AbortController()
    const watching = this.holder.applied.subscribe(() => {
      const claim = this.get(key)
      if (claim === undefined || isResolved(claim)) known.abort()
    })
    if (waitMs > 0) await this.#clock.sleep(waitMs, known.signal)
    watching.unsubscribe()
  }

  apply(command: Command): Claim {
    const result = this.holder.apply(this.holder.state.appliedIndex + 1, command)
    return readClaim(result)
      .mapLeft((error): never => {
        throw error
      })
      .unsafeCoerce()
  }

  #admit(workspace: string): void {
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
