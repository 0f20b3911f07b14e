/** All upstreams that take work, by rack, with what the running gangs hold of them. */
import type { UpstreamView } from '@nettlespur/api.schemas'
import type { Block } from './block.js'
import { takeShare } from './demand.js'
import type { RunningGang } from './runningGang.js'
import { UpstreamRoom } from './upstreamRoom.js'

export class ClusterMap {
  /** In order of their ids. */
  readonly rooms: readonly UpstreamRoom[]
  /** Grouped by data centre and rack. */
  readonly racks: readonly (readonly UpstreamRoom[])[]
  readonly #byId: ReadonlyMap<string, UpstreamRoom>

  /** Only upstreams that are ready take new work. */
  constructor(upstreams: readonly UpstreamView[], running: readonly RunningGang[]) {
    this.rooms = upstreams
      .filter((view) => view.state === 'ready')
      .sort((left, right) => (left.upstreamId < right.upstreamId ? -1 : 1))
      .map((view) => new UpstreamRoom(view))
    this.#byId = new Map(this.rooms.map((room) => [room.upstreamId, room]))
    this.racks = groupByRack(this.rooms)
    for (const gang of running) this.hold(gang)
  }

  get freeCount(): number {
    return this.rooms.reduce((sum, room) => sum + room.freeCount, 0)
  }

  /** Accelerators of the largest upstream. */
  get largestUpstream(): number {
    return this.rooms.reduce((most, room) => Math.max(most, room.size), 0)
  }

  get size(): number {
    return this.rooms.reduce((sum, room) => sum + room.size, 0)
  }

  find(upstreamId: string): UpstreamRoom | undefined {
    return this.#byId.get(upstreamId)
  }

  /** Members on upstreams that take no work are left out. */
  hold(gang: RunningGang): void {
    for (const { upstreamId, acceleratorIndexes } of gang.blocks) {
      const room = this.#byId.get(upstreamId)
      if (room === undefined) continue
      for (const index of acceleratorIndexes) room.hold(index, gang)
      const { cpuCores, memoryBytes } = takeShare(gang, acceleratorIndexes.length)
      room.use(cpuCores, memoryBytes)
    }
  }

  /** Runs `visit` on each accelerator of these blocks that is known. */
  visit(blocks: readonly Block[], visit: (room: UpstreamRoom, index: number) => void): void {
    for (const { upstreamId, acceleratorIndexes } of blocks) {
      const room = this.#byId.get(upstreamId)
      if (room === undefined) continue
      for (const index of acceleratorIndexes) if (index < room.size) visit(room, index)
    }
  }
}

function groupByRack(rooms: readonly UpstreamRoom[]): UpstreamRoom[][] {
  const racks = new Map<string, UpstreamRoom[]>()
  for (const room of rooms) {
    const name = `${room.view.dataCentre} ${room.view.rack}`
    const rack = racks.get(name)
    if (rack === undefined) racks.set(name, [room])
    else rack.push(room)
  }
  return [...racks.values()]
}
