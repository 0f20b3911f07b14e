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

export interface CutOptions {
  forMs: number
  /** Whether connections to the address are refused; otherwise calls get no answer. False by default. */
  refuses?: boolean
  /** Whether answers to calls sent before the cut are lost too. False by default. */
  losesAnswers?: boolean
}

interface Cut {
  readonly untilMs: number
  readonly refuses: boolean
  readonly losesAnswers: boolean
}

export class FleetLinks {
  readonly #clock: Clock
  readonly #cuts = new Map<string, Cut>()
  readonly #unhealthy = new Set<string>()
  /** What happens to the next calls, whatever upstream they go to. */
  #faults: LinkFault[] = []

  constructor(clock: Clock) {
    this.#clock = clock
  }

  addFaults(fault: LinkFault, calls: number): void {
    for (let call = 0; call < calls; call++) this.#faults.push(fault)
  }

  cut(address: string, { forMs, refuses = false, losesAnswers = false }: CutOptions): void {
    const untilMs = this.#clock.monotonicMs() + forMs
    this.#cuts.set(address, { untilMs, refuses, losesAnswers })
  }

  /** From now on the upstream refuses every start as unhealthy. */
  makeUnhealthy(address: string): void {
    this.#unhealthy.add(address)
  }

  isCut(address: string): boolean {
    return this.#findCut(address) !== undefined
  }

  /** Whether an answer from the address is lost now. */
  losesAnswers(address: string): boolean {
    return this.#findCut(address)?.losesAnswers === true
  }

  /** Returns what happens to the next call to the address. */
  takeFault(address: string): LinkFault {
    const cut = this.#findCut(address)
    if (cut !== undefined) return cut.refuses ? 'refused' : 'silent'
    return this.#faults.shift() ?? (this.#unhealthy.has(address) ? 'unhealthy-starts' : 'none')
  }

  /** Ends cuts and faults; unhealthy upstreams stay so. */
  heal(): void {
    this.#faults = []
    this.#cuts.clear()
  }

  #findCut(address: string): Cut | undefined {
    const cut = this.#cuts.get(address)
    return cut !== undefined && cut.untilMs > this.#clock.monotonicMs() ? cut : undefined
  }
}
