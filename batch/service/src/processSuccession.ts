/**
 * Which process of an upstream answers in place of which earlier ones. Runs placed on an earlier process are followed by
 * the session with its successor until they have ended, as the order to start them may have reached the successor.
 */
import type { Placement, PlacementIndex } from '@nettlespur/batch.state'

const noPlacements: ReadonlyMap<string, Placement> = new Map()

export class ProcessSuccession {
  /** The successor of each replaced process, by upstream id. A successor has none itself. */
  readonly #successors = new Map<string, string>()
  /** The values of `#successors`, so that the usual upstream, which has replaced no process, is recognised at once. */
  #successorIds: ReadonlySet<string> = new Set()

  /** Replaced processes that have not been forgotten, by upstream id. */
  get replacedIds(): Iterable<string> {
    return this.#successors.keys()
  }

  record(upstreamId: string, successorId: string): void {
    this.#successors.delete(successorId)
    for (const [formerId, knownId] of this.#successors) {
      if (knownId === upstreamId) this.#successors.set(formerId, successorId)
    }
    this.#successors.set(upstreamId, successorId)
    this.#successorIds = new Set(this.#successors.values())
  }

  forget(upstreamId: string): void {
    if (this.#successors.delete(upstreamId)) this.#successorIds = new Set(this.#successors.values())
  }

  isReplaced(upstreamId: string): boolean {
    return this.#successors.has(upstreamId)
  }

  /** Returns the process that answers in place of the given one; the given one itself if it is not replaced. */
  resolve(upstreamId: string): string {
    return this.#successors.get(upstreamId) ?? upstreamId
  }

  /** The runs placed on the upstream and on the processes that it has replaced, by run key. */
  listPlacements(index: PlacementIndex, upstreamId: string): ReadonlyMap<string, Placement> {
    if (this.#successors.size === 0) return index.getByUpstream(upstreamId)
    if (this.isReplaced(upstreamId)) return noPlacements
    if (!this.#successorIds.has(upstreamId)) return index.getByUpstream(upstreamId)
    const formerIds = [...this.#successors].flatMap(([formerId, successorId]) =>
      successorId === upstreamId ? [formerId] : [],
    )
    return new Map([upstreamId, ...formerIds].flatMap((id) => [...index.getByUpstream(id)]))
  }
}
