/**
 * The claims of one workspace, in order of their last change. Expiry is judged by the timestamps of
 * commands, never by a local clock, so that all instances drop the same claims.
 */
import type { Claim } from '@nettlespur/api.schemas'
import { claimAnswersBytesMax } from './retention.js'

/** Returns true if the outcome of the claimed request is known. */
export function isResolved({ outcome }: Claim): boolean {
  return outcome !== undefined && outcome.kind !== 'unknown'
}

export class ClaimTable {
  readonly #byKey = new Map<string, Claim>()
  readonly #unresolved = new Set<string>()
  /** Size in bytes of each kept answer by claim key, oldest first. */
  readonly #answerSizes = new Map<string, number>()
  #answerBytes = 0

  get size(): number {
    return this.#byKey.size
  }

  get(key: string): Claim | undefined {
    return this.#byKey.get(key)
  }

  list(): Claim[] {
    return [...this.#byKey.values()]
  }

  listUnresolved(): Claim[] {
    return [...this.#unresolved].flatMap((key) => this.#byKey.get(key) ?? [])
  }

  /**
   * Inserts or replaces a claim and moves it to the end of the order. Drops the bodies of the oldest answers
   * until the rest fit into `claimAnswersBytesMax`.
   */
  put(claim: Claim): void {
    this.#drop(claim.key)
    this.#byKey.set(claim.key, claim)
    if (!isResolved(claim)) this.#unresolved.add(claim.key)
    if (claim.outcome?.kind !== 'answered' || claim.outcome.bodyBase64 === undefined) return
    this.#answerSizes.set(claim.key, claim.outcome.bodyBytes)
    this.#answerBytes += claim.outcome.bodyBytes
    for (const oldest of this.#answerSizes.keys()) {
      if (this.#answerBytes <= claimAnswersBytesMax) return
      this.#dropBody(oldest)
    }
  }

  /** Drops claims whose last change is older than `lifetimeMs`. A claim without an outcome is always kept. */
  pruneExpired(timeMs: number, lifetimeMs: number): void {
    for (const [key, { changedAt, outcome }] of this.#byKey) {
      if (outcome === undefined) continue
      if (timeMs - Date.parse(changedAt) <= lifetimeMs) return
      this.#drop(key)
    }
  }

  #drop(key: string): void {
    this.#byKey.delete(key)
    this.#unresolved.delete(key)
    this.#answerBytes -= this.#answerSizes.get(key) ?? 0
    this.#answerSizes.delete(key)
  }

  #dropBody(key: string): void {
    this.#answerBytes -= this.#answerSizes.get(key) ?? 0
    this.#answerSizes.delete(key)
    const claim = this.#byKey.get(key)
    if (claim?.outcome?.kind !== 'answered') return
    const outcome = { ...claim.outcome, bodyBase64: undefined }
    this.#byKey.set(key, { ...claim, outcome })
  }
}
