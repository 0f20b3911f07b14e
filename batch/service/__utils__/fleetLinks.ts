/** The links between a fake fleet's leaders and its upstreams, by address, and what is wrong with them. */
import type { Clock } from '@nettlespur/core.clock'
import type { LinkFault } from './faultyPort.js'

const firstPort = 9000

/** Returns the address of the upstream with that number. */
export function addressOf(at: number): string {
  return `127.0.0.1:${firstPort + at}`
}

/** Upstreams are in two data centres by turns. */
export function dataCentreOf(address: string): string {
  const port = Number(address.slice(address.lastIndexOf(':') + 1))
  return `centre${port % 2}`
}

export class FleetLinks {
  readonly #clock: Clock
  readonly #cutUntilMs = new Map<string, number>()
  readonly #unhealthy = new Set<string>()
  /** What happens to the next calls, whatever upstream they go to. */
  #faults: LinkFault[] = []

  constructor(clock: Clock) {
    this.#clock = clock
  }

  addFaults(fault: LinkFault, calls: number): void {
    for (let call = 0; call < calls; call++) this.#faults.push(fault)
  }

  cut(address: string, forMs: number): void {
    this.#cutUntilMs.set(address, this.#clock.monotonicMs() + forMs)
  }

  /** From now on the upstream refuses every start as unhealthy. */
  makeUnhealthy(address: string): void {
    this.#unhealthy.add(address)
  }

  isCut(address: string): boolean {
    return (this.#cutUntilMs.get(address) ?? 0) > this.#clock.monotonicMs()
  }

  /** Returns what happens to the next call to the address. */
  takeFault(address: string): LinkFault {
    if (this.isCut(address)) return 'silent'
    return this.#faults.shift() ?? (this.#unhealthy.has(address) ? 'unhealthy-starts' : 'none')
  }

  /** Ends cuts and faults; unhealthy upstreams stay so. */
  heal(): void {
    this.#faults = []
    this.#cutUntilMs.clear()
  }
}
