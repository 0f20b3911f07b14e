/**
 * Keeps capacity free for urgent work that is expected before others could be stopped for it. Work with slack starts only
 * if that much stays free afterwards, in pieces that a usual urgent task fits in.
 */
import type { UnitRef } from '@nettlespur/batch.model'
import { hasPlacements } from '@nettlespur/batch.state'
import type { ExpectedClaims } from './expectedClaims.js'
import type { HeadroomView } from './headroomView.js'
import type { RankedUnit } from './orderUnits.js'
import { addResources, countFitting } from './resources.js'
import type { RoundAllocations } from './roundAllocations.js'
import { urgentPriority } from './urgentPriority.js'

/** For how long work of which nothing runs is held back: as long as for any preference (`preferenceWaitMaxMs` of a round). */
const holdBackMsMax = 2000

export class Headroom {
  readonly #view: HeadroomView | undefined
  readonly #allocations: RoundAllocations
  /** Units that start nothing, or not all that fits, for the sake of urgent work. */
  readonly heldBack: UnitRef[] = []

  constructor(view: HeadroomView | undefined, allocations: RoundAllocations) {
    this.#view = view
    this.#allocations = allocations
  }

  /** Returns the upstreams that the unit may use of those chosen for its tasks: for a gang all or none. */
  admit(unit: RankedUnit, upstreamIds: readonly string[]): readonly string[] {
    const { job, step, stepNumber, isOverdue } = unit
    if (this.#view === undefined || upstreamIds.length === 0 || isOverdue) return upstreamIds
    if (job.queue.priority === urgentPriority) return upstreamIds
    const expected = this.#view.expect(job.queue.pool)
    if (expected === undefined) return upstreamIds
    const ref = { jobId: job.request.jobId, step: stepNumber }
    if (!hasPlacements(job) && this.#view.heldBackMs(ref) >= holdBackMsMax) return upstreamIds
    const admitted = this.#countAdmitted(unit, upstreamIds, expected)
    if (admitted === upstreamIds.length) return upstreamIds
    this.heldBack.push(ref)
    return step.isGang ? [] : upstreamIds.slice(0, admitted)
  }

  /** Returns how many of the tasks may start, in order, so that the expected claims still fit. */
  #countAdmitted(
    { job, step }: RankedUnit,
    upstreamIds: readonly string[],
    { taskNeeds, taskCount }: ExpectedClaims,
  ): number {
    const inPool = this.#allocations.upstreams.filter(
      ({ view }) => view.pool === job.queue.pool && view.availability === 'usable',
    )
    const free = new Map(inPool.map(({ upstreamId, free }) => [upstreamId, free]))
    let spare = -taskCount
    for (const amount of free.values()) spare += countFitting(amount, taskNeeds)
    let admitted = 0
    for (const upstreamId of upstreamIds) {
      const before = free.get(upstreamId)
      if (before !== undefined) {
        const after = addResources(before, step.needs, -1)
        const lost = countFitting(before, taskNeeds) - countFitting(after, taskNeeds)
        if (lost > 0 && spare < lost) break
        spare -= lost
        free.set(upstreamId, after)
      }
      admitted += 1
    }
    return admitted
  }
}
