/**
 * Checks a reservation plan against contracts, upstreams and running gangs, and reports every violation.
 * Shares no code with the planner, so that a fault in the planner cannot hide itself.
 */
import type { Contract, UpstreamView } from '@nettlespur/api.schemas'
import type { Block, RunningGang } from '@nettlespur/placement.topology'
import type { Reservation, ReservationPlan } from './reservation.js'

export interface PlannedCluster {
  readonly contracts: readonly Contract[]
  readonly upstreams: readonly UpstreamView[]
  readonly running: readonly RunningGang[]
}

export interface PlanFault {
  readonly kind: 'missing' | 'overlap' | 'not-adjacent' | 'not-reclaimable' | 'share'
  readonly detail: string
}

/** Returns all faults of the plan; none if every guaranteed shape can be reclaimed. */
export function checkPlan(cluster: PlannedCluster, plan: ReservationPlan): PlanFault[] {
  const ready = cluster.upstreams.filter((upstream) => upstream.state === 'ready')
  const upstreams = new Map(ready.map((upstream) => [upstream.upstreamId, upstream]))
  return [
    ...findMissing(cluster.contracts, plan),
    ...findOverlaps(plan),
    ...plan.reservations.flatMap((reservation) => findNotAdjacent(reservation, upstreams)),
    ...findNotReclaimable(cluster.running, plan),
    ...findOvercommitted(cluster.running, plan, upstreams),
  ]
}

function findMissing(contracts: readonly Contract[], plan: ReservationPlan): PlanFault[] {
  const found = new Map<string, number>()
  for (const { workspace, shape } of plan.reservations) {
    const name = `${workspace} ${shape.accelerators} ${shape.adjacency}`
    found.set(name, (found.get(name) ?? 0) + 1)
  }
  const wanted = new Map<string, number>()
  for (const { workspace, guarantees } of contracts) {
    for (const { accelerators, adjacency, count } of guarantees) {
      const name = `${workspace} ${accelerators} ${adjacency}`
      wanted.set(name, (wanted.get(name) ?? 0) + count)
    }
  }
  return [...wanted]
    .filter(([name, count]) => (found.get(name) ?? 0) < count)
    .map(([name, count]) => {
      return { kind: 'missing', detail: `${name}: ${found.get(name) ?? 0} of ${count} mapped` }
    })
}

function findOverlaps({ reservations }: ReservationPlan): PlanFault[] {
  const seen = new Map<string, string>()
  const faults: PlanFault[] = []
  for (const { reservationId, blocks } of reservations) {
    for (const name of listAcceleratorNames(blocks)) {
      const other = seen.get(name)
      if (other !== undefined) {
        faults.push({
          kind: 'overlap',
          detail: `${name} is reserved for ${other} and ${reservationId}`,
        })
      }
      seen.set(name, reservationId)
    }
  }
  return faults
}

function findNotAdjacent(
  { reservationId, shape, blocks }: Reservation,
  upstreams: ReadonlyMap<string, UpstreamView>,
): PlanFault[] {
  const fault = (detail: string): PlanFault[] => [
    { kind: 'not-adjacent', detail: `${reservationId}: ${detail}` },
  ]
  const views = blocks.map((block) => upstreams.get(block.upstreamId))
  const present = views.filter((view) => view !== undefined)
  if (present.length < blocks.length) return fault('an upstream is not ready')
  const indexes = blocks.flatMap((block) => block.acceleratorIndexes)
  if (indexes.length !== shape.accelerators) return fault(`has ${indexes.length} accelerators`)
  if (
    blocks.some((block, at) =>
      block.acceleratorIndexes.some((i) => i >= (present[at]?.accelerators ?? 0)),
    )
  ) {
    return fault('an accelerator does not exist')
  }
  if (shape.adjacency === 'none') return []
  if (shape.adjacency === 'upstream' && blocks.length > 1) return fault('spans upstreams')
  const racks = new Set(present.map((view) => `${view.dataCentre} ${view.rack}`))
  if (racks.size > 1) return fault('spans racks')
  const partial = blocks.filter(
    (block, at) => block.acceleratorIndexes.length !== present[at]?.accelerators,
  )
  if (partial.length > 1) return fault('takes parts of several upstreams')
  return partial.every(isAlignedRun) ? [] : fault('is not an aligned run')
}

function isAlignedRun({ acceleratorIndexes }: Block): boolean {
  const [first = 0] = acceleratorIndexes
  const count = acceleratorIndexes.length
  const isAligned = ![1, 2, 4, 8].includes(count) || first % count === 0
  return isAligned && acceleratorIndexes.every((index, offset) => index === first + offset)
}

function findNotReclaimable(
  running: readonly RunningGang[],
  { reservations }: ReservationPlan,
): PlanFault[] {
  const owners = new Map<string, Reservation>()
  for (const reservation of reservations)
    for (const name of listAcceleratorNames(reservation.blocks)) owners.set(name, reservation)
  return running
    .filter((gang) => gang.stoppability === 'never' && !gang.isStopping)
    .flatMap((gang) =>
      listAcceleratorNames(gang.blocks)
        .filter((name) => (owners.get(name)?.workspace ?? gang.workspace) !== gang.workspace)
        .map((name): PlanFault => {
          const detail = `${name}, reserved for ${owners.get(name)?.reservationId ?? ''}, is held by ${gang.jobId}`
          return { kind: 'not-reclaimable', detail }
        }),
    )
}

interface ResourceTotals {
  cpuCores: number
  memoryBytes: number
}

/**
 * Reports upstreams where unstoppable gangs leave a reserved accelerator less than its even share of the
 * processors and memory.
 */
function findOvercommitted(
  running: readonly RunningGang[],
  plan: ReservationPlan,
  upstreams: ReadonlyMap<string, UpstreamView>,
): PlanFault[] {
  const used = sumUse(running)
  const reserved = sumShares(plan, upstreams)
  const faults: PlanFault[] = []
  for (const [upstreamId, view] of upstreams) {
    const workspaces = new Set([
      ...(used.get(upstreamId)?.keys() ?? []),
      ...(reserved.get(upstreamId)?.keys() ?? []),
    ])
    const sum = { cpuCores: 0, memoryBytes: 0 }
    for (const workspace of workspaces) {
      const use = used.get(upstreamId)?.get(workspace)
      const share = reserved.get(upstreamId)?.get(workspace)
      sum.cpuCores += Math.max(use?.cpuCores ?? 0, share?.cpuCores ?? 0)
      sum.memoryBytes += Math.max(use?.memoryBytes ?? 0, share?.memoryBytes ?? 0)
    }
    const isOvercommitted =
      sum.cpuCores > view.cpuCores * roundingTolerance ||
      sum.memoryBytes > view.memoryBytes * roundingTolerance
    if (reserved.has(upstreamId) && isOvercommitted) {
      faults.push({
        kind: 'share',
        detail: `${upstreamId}: its processors or memory are overcommitted`,
      })
    }
  }
  return faults
}

/** Sums of fractional shares may exceed the capacity by a rounding error. */
const roundingTolerance = 1 + 1e-9

type TotalsByUpstream = Map<string, Map<string, ResourceTotals>>

function sumUse(running: readonly RunningGang[]): TotalsByUpstream {
  const sums: TotalsByUpstream = new Map()
  for (const gang of running) {
    if (gang.stoppability !== 'never' || gang.isStopping) continue
    for (const { upstreamId, acceleratorIndexes } of gang.blocks) {
      const share = acceleratorIndexes.length / gang.gang.accelerators
      add(sums, upstreamId, gang.workspace, {
        cpuCores: gang.cpuCores * share,
        memoryBytes: gang.memoryBytes * share,
      })
    }
  }
  return sums
}

function sumShares(
  { reservations }: ReservationPlan,
  upstreams: ReadonlyMap<string, UpstreamView>,
): TotalsByUpstream {
  const sums: TotalsByUpstream = new Map()
  for (const { workspace, blocks } of reservations) {
    for (const { upstreamId, acceleratorIndexes } of blocks) {
      const view = upstreams.get(upstreamId)
      if (view === undefined) continue
      const share = acceleratorIndexes.length / view.accelerators
      add(sums, upstreamId, workspace, {
        cpuCores: view.cpuCores * share,
        memoryBytes: view.memoryBytes * share,
      })
    }
  }
  return sums
}

function add(
  sums: TotalsByUpstream,
  upstreamId: string,
  workspace: string,
  sum: ResourceTotals,
): void {
  const byWorkspace = sums.get(upstreamId) ?? new Map<string, ResourceTotals>()
  sums.set(upstreamId, byWorkspace)
  const present = byWorkspace.get(workspace) ?? { cpuCores: 0, memoryBytes: 0 }
  byWorkspace.set(workspace, {
    cpuCores: present.cpuCores + sum.cpuCores,
    memoryBytes: present.memoryBytes + sum.memoryBytes,
  })
}

function listAcceleratorNames(blocks: readonly Block[]): string[] {
  return blocks.flatMap(({ upstreamId, acceleratorIndexes }) =>
    acceleratorIndexes.map((index) => `${upstreamId}[${index}]`),
  )
}
