/** Takes any free accelerator, where it breaks up the least. */
import { BlockChooser } from './blockChooser.js'
import { measureSurroundings } from './measureSurroundings.js'
import type { UpstreamRoom } from './upstreamRoom.js'

/** Weighs the size of the surroundings above the free accelerators of the upstream. */
const surroundingsWeight = 1024

export class FreeChooser extends BlockChooser {
  isUsable(room: UpstreamRoom, index: number): boolean {
    return room.holders[index] === undefined && room.promisedTo[index] === undefined
  }

  rate(room: UpstreamRoom, from: number, count: number): number {
    return measureSurroundings(room, from, count, this) * surroundingsWeight + room.freeCount
  }

  override countUsableMax(room: UpstreamRoom): number {
    return room.freeCount
  }

  /** Gangs of several upstreams go to the rack with the least left over. */
  override rateRack(rack: readonly UpstreamRoom[]): number {
    return rack.reduce((sum, room) => sum + room.freeCount, 0)
  }
}
