/**
 * Which process runs on each upstream machine: the first one has the machine's id, each one after it a new id at the same
 * address. A machine gets its next process where it flaps.
 */
import type { UpstreamHealth } from '@nettlespur/batch.service'
import type { BatchState } from '@nettlespur/batch.state'
import type { CrowdedDay } from './crowdedDay.js'
import type { Flap } from './dayTroubles.js'
import type { PlayedCrashes } from './playedCrashes.js'

/** Separates the machine's id from the number of the process. */
const processMark = '~'

export interface PlayedProcessesOptions {
  day: CrowdedDay
  crashes: PlayedCrashes
  state: BatchState
  health: UpstreamHealth
}

export class PlayedProcesses {
  readonly #opts: PlayedProcessesOptions
  /** How often the process of each machine was replaced. */
  readonly #replacements = new Map<string, number>()
  readonly #flaps: Flap[]
  readonly #flapping: ReadonlySet<string>

  constructor(opts: PlayedProcessesOptions) {
    this.#opts = opts
    this.#flaps = [...opts.day.troubles.flaps]
    this.#flapping = new Set(this.#flaps.map(({ upstreamId }) => upstreamId))
  }

  getProcessId(machineId: string): string {
    const count = this.#replacements.get(machineId) ?? 0
    return count === 0 ? machineId : `${machineId}${processMark}${count}`
  }

  /** Brings down the processes whose flap is due. */
  advance(nowMs: number): void {
    for (;;) {
      const [flap] = this.#flaps
      if (flap === undefined || flap.atMs > nowMs) return
      this.#flaps.shift()
      const upstreamId = this.getProcessId(flap.upstreamId)
      if (this.#opts.state.upstreams.get(upstreamId)?.hasLeft === true) continue
      this.#opts.crashes.bringDown(upstreamId, flap.upAtMs)
    }
  }

  /** Tells the leader of the processes that came up in place of those that went down. */
  replaceRevived(nowMs: number): void {
    const { day, crashes, state, health } = this.#opts
    for (const machine of day.upstreams) {
      const machineId = machine.upstreamId
      const upstreamId = this.getProcessId(machineId)
      if (!this.#flapping.has(machineId) || !crashes.hasRevived(upstreamId, nowMs)) continue
      const lost = state.upstreams.get(upstreamId)
      if (lost !== undefined) health.noteLoss(lost, nowMs)
      state.apply({ type: 'remove-upstream', upstreamId })
      this.#replacements.set(machineId, (this.#replacements.get(machineId) ?? 0) + 1)
      const description = { ...machine, upstreamId: this.getProcessId(machineId) }
      state.apply({ type: 'note-upstream', description })
    }
  }
}

/** Returns the machine on which a process runs. */
export function toMachineId(processId: string): string {
  return processId.split(processMark)[0] ?? processId
}
