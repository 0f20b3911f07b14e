/** What headroom needs from earlier rounds: the demand of urgent work, and the units held back. Both are kept in memory. */
import { unitKey, type UnitRef } from '@nettlespur/batch.model'
import type { JobRecord } from '@nettlespur/batch.state'
import type { ClaimBounds } from './claimBounds.js'
import type { HeadroomView } from './headroomView.js'
import type { RoundDecision } from './schedulerView.js'
import { UrgentDemand } from './urgentDemand.js'
import type { ExpectedClaims } from './expectedClaims.js'

interface HeldBackUnit extends UnitRef {
  readonly sinceMs: number
}

export class HeadroomWatch {
  readonly #demand: UrgentDemand
  readonly #heldBack = new Map<string, HeldBackUnit>()

  private constructor(stopMsMax: number) {
    this.#demand = new UrgentDemand(stopMsMax)
  }

  /** Returns undefined where no bounds are set or stops take no time: nothing has to be kept free there. */
  static create(bounds: ClaimBounds | undefined): HeadroomWatch | undefined {
    if (bounds === undefined || bounds.stopMsMax === 0) return undefined
    return new HeadroomWatch(bounds.stopMsMax)
  }

  /** Call it before each round, with the unsettled jobs by id. */
  noteJobs(jobs: ReadonlyMap<string, JobRecord>, nowMs: number): void {
    this.#demand.noteJobs(jobs.values(), nowMs)
    for (const [key, { jobId }] of this.#heldBack) {
      if (!jobs.has(jobId)) this.#heldBack.delete(key)
    }
  }

  /** Call it after each round. Returns the units that are held back for the first time. */
  noteRound({ placements, heldBack = [] }: RoundDecision, nowMs: number): UnitRef[] {
    for (const placement of placements) this.#heldBack.delete(unitKey(placement))
    const added = heldBack.filter((unit) => !this.#heldBack.has(unitKey(unit)))
    for (const unit of added) this.#heldBack.set(unitKey(unit), { ...unit, sinceMs: nowMs })
    return added
  }

  /** What urgent work is expected to claim, by pool. */
  list(): ReadonlyMap<string, ExpectedClaims> {
    return new Map(
      this.#demand.pools.flatMap((pool) => {
        const expected = this.#demand.expect(pool)
        return expected === undefined ? [] : [[pool, expected] as const]
      }),
    )
  }

  /** The view for a round at `nowMs`. */
  view(nowMs: number): HeadroomView {
    return {
      expect: (pool) => this.#demand.expect(pool),
      heldBackMs: (unit) => nowMs - (this.#heldBack.get(unitKey(unit))?.sinceMs ?? nowMs),
    }
  }
}
