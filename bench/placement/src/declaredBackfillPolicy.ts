/**
 * Backfill trusting declared run times (EASY): the first job that does not fit gets the block that declared
 * ends free soonest; others pass it where they end before that, or start elsewhere.
 */
import type { PlacementView, WaitingJob } from '@nettlespur/placement.engine'
import {
  ClusterMap,
  fitGang,
  FreeChooser,
  type Block,
  type UpstreamCapacity,
} from '@nettlespur/placement.topology'
import { BaselinePolicy } from './baselinePolicy.js'

interface Shadow {
  readonly startMs: number
  readonly kept: ReadonlySet<string>
}

export class DeclaredBackfillPolicy extends BaselinePolicy {
  #shadow: Shadow | undefined

  protected override begin(): void {
    this.#shadow = undefined
  }

  protected override find(
    map: ClusterMap,
    job: WaitingJob,
    view: PlacementView,
  ): Block[] | undefined {
    const shadow = this.#shadow
    const endsBefore = view.nowMs + job.expectedRunTimeMs <= (shadow?.startMs ?? 0)
    const kept = shadow === undefined || endsBefore ? new Set<string>() : shadow.kept
    return fitGang(map, job, new KeepingChooser(kept))
  }

  protected override passes(map: ClusterMap, job: WaitingJob, view: PlacementView): boolean {
    this.#shadow ??= findShadow(map, job, view)
    return true
  }
}

class KeepingChooser extends FreeChooser {
  readonly #kept: ReadonlySet<string>

  constructor(kept: ReadonlySet<string>) {
    super()
    this.#kept = kept
  }

  override isUsable(room: UpstreamCapacity, index: number): boolean {
    return super.isUsable(room, index) && !this.#kept.has(`${room.upstreamId}/${index}`)
  }
}

/** Lets running gangs end one after the other, as declared, until the job fits. */
function findShadow(map: ClusterMap, job: WaitingJob, view: PlacementView): Shadow | undefined {
  const gangs = new Set(map.upstreams.flatMap((room) => room.holders))
  const left = [...gangs]
    .filter((gang) => gang !== undefined)
    .map((gang) => {
      const endMs = (gang.startedAtMs ?? view.nowMs) + gang.expectedRunTimeMs
      return { gang, endMs: Math.max(endMs, view.nowMs) }
    })
    .sort((one, other) => one.endMs - other.endMs)
  while (left.length > 0) {
    const startMs = left[0]?.endMs ?? 0
    while (left[0]?.endMs === startMs) left.shift()
    const later = new ClusterMap(
      view.upstreams,
      left.map(({ gang }) => gang),
    )
    const blocks = fitGang(later, job, new FreeChooser())
    if (blocks === undefined) continue
    const kept = blocks.flatMap(({ upstreamId, acceleratorIndexes }) =>
      acceleratorIndexes.map((index) => `${upstreamId}/${index}`),
    )
    return { startMs, kept: new Set(kept) }
  }
  return undefined
}
