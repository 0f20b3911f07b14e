/** Finds the accelerators of a whole gang by its adjacency. */
import type { Block } from './block.js'
import type { BlockChooser } from './blockChooser.js'
import type { ClusterMap } from './clusterMap.js'
import type { Demand } from './demand.js'
import { fitBlock, isUsableRun, type RatedBlock } from './fitBlock.js'
import type { UpstreamRoom } from './upstreamRoom.js'

/** The blocks of the gang, one for each upstream; undefined where it does not fit. */
export function fitGang(
  map: ClusterMap,
  demand: Demand,
  chooser: BlockChooser,
): Block[] | undefined {
  const { accelerators, adjacency } = demand.gang
  const single = fitBlock(map.rooms, demand, accelerators, chooser)
  if (single !== undefined) return [toBlock(single)]
  switch (adjacency) {
    case 'upstream':
      return undefined
    case 'rack':
      return fitRack(map, demand, chooser)?.map(toBlock)
    case 'none':
      return gather(map.rooms, demand, chooser)
  }
}

/** Whole upstreams of one rack, and a block of a further one for the rest. */
function fitRack(map: ClusterMap, demand: Demand, chooser: BlockChooser): RatedBlock[] | undefined {
  let best: RatedBlock[] | undefined
  let bestRate = Number.POSITIVE_INFINITY
  for (const rack of map.racks) {
    const blocks = fitWithinRack(rack, demand, chooser)
    if (blocks === undefined) continue
    const rate = blocks.reduce((sum, block) => sum + block.rate, chooser.rateRack(rack))
    if (rate >= bestRate) continue
    best = blocks
    bestRate = rate
  }
  return best
}

function fitWithinRack(
  rack: readonly UpstreamRoom[],
  demand: Demand,
  chooser: BlockChooser,
): RatedBlock[] | undefined {
  const blocks: RatedBlock[] = []
  let left = demand.gang.accelerators
  for (const whole of listWhole(rack, demand, chooser)) {
    if (whole.count > left) continue
    blocks.push(whole)
    left -= whole.count
  }
  if (left === 0) return blocks
  if (blocks.length === 0) return undefined
  const used = new Set(blocks.map((block) => block.room))
  const others = rack.filter((room) => !used.has(room))
  const rest = fitBlock(others, demand, left, chooser)
  return rest === undefined ? undefined : [...blocks, rest]
}

/** Upstreams that are usable as a whole, the largest first, of equal ones the best. */
function listWhole(
  rack: readonly UpstreamRoom[],
  demand: Demand,
  chooser: BlockChooser,
): RatedBlock[] {
  const wholes: RatedBlock[] = []
  for (const room of rack) {
    const count = room.size
    if (count === 0 || chooser.countUsableMax(room) < count) continue
    if (!isUsableRun(room, 0, count, chooser)) continue
    if (chooser.countAffordable(room, demand) < count) continue
    const rate = chooser.rate(room, 0, count)
    if (Number.isFinite(rate)) wholes.push({ room, from: 0, count, rate })
  }
  return wholes.sort((left, right) => right.count - left.count || left.rate - right.rate)
}

/** Any accelerators, the best rated first, from as few upstreams as that allows. */
function gather(
  rooms: readonly UpstreamRoom[],
  demand: Demand,
  chooser: BlockChooser,
): Block[] | undefined {
  const singles = rooms.flatMap((room) => listSingles(room, demand, chooser))
  singles.sort((left, right) => left.rate - right.rate)
  const blocks = new Map<string, number[]>()
  for (const { room, from } of singles.slice(0, demand.gang.accelerators)) {
    const indexes = blocks.get(room.upstreamId)
    if (indexes === undefined) blocks.set(room.upstreamId, [from])
    else indexes.push(from)
  }
  if (singles.length < demand.gang.accelerators) return undefined
  return [...blocks].map(([upstreamId, indexes]) => {
    return { upstreamId, acceleratorIndexes: indexes.sort((left, right) => left - right) }
  })
}

function listSingles(room: UpstreamRoom, demand: Demand, chooser: BlockChooser): RatedBlock[] {
  const singles: RatedBlock[] = []
  for (let from = 0; from < room.size; from += 1) {
    if (!chooser.isUsable(room, from)) continue
    const rate = chooser.rate(room, from, 1)
    if (Number.isFinite(rate)) singles.push({ room, from, count: 1, rate })
  }
  singles.sort((left, right) => left.rate - right.rate)
  return singles.slice(0, Math.max(0, chooser.countAffordable(room, demand)))
}

function toBlock({ room, from, count }: RatedBlock): Block {
  const acceleratorIndexes = Array.from({ length: count }, (_, offset) => from + offset)
  return { upstreamId: room.upstreamId, acceleratorIndexes }
}
