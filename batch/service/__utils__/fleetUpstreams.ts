/** The upstreams of a fake fleet by address: starts their processes and lets them crash. */
import { FakeUpstream, type FleetLedger } from '@nettlespur/batch.fakes'
import type { Clock } from '@nettlespur/core.clock'
import { addressOf } from './fleetLinks.js'
import type { FakeFleetOptions } from './fleetOptions.js'

const defaultDownMs = 3000

export interface FleetUpstreamsOptions extends Pick<
  FakeFleetOptions,
  | 'clockRate'
  | 'downMs'
  | 'guardsCapacity'
  | 'remembersCursor'
  | 'bornMs'
  | 'statesBirth'
  | 'speeds'
  | 'neverRestarted'
> {
  clock: Clock
  ledger: FleetLedger
}

export class FleetUpstreams {
  readonly #opts: FleetUpstreamsOptions
  readonly #byAddress = new Map<string, FakeUpstream>()
  #startedCount = 0

  constructor(opts: FleetUpstreamsOptions) {
    this.#opts = opts
  }

  /** The upstreams by address. */
  get byAddress(): ReadonlyMap<string, FakeUpstream> {
    return this.#byAddress
  }

  find(at: number): FakeUpstream | undefined {
    return this.#byAddress.get(addressOf(at))
  }

  /** The process crashes, and the next one, if any, starts after `downMs`. */
  crash(at: number, downMs: number): void {
    const upstream = this.find(at)
    if (upstream?.isUp !== true) return
    upstream.crash()
    if (this.#opts.neverRestarted?.includes(at) === true) return
    if (downMs === 0) {
      this.start(at)
      return
    }
    this.#opts.clock.setTimer(downMs, () => {
      this.start(at)
    })
  }

  /** Starts the next process of the upstream. */
  start(at: number): void {
    this.#startedCount += 1
    const address = addressOf(at)
    const { clock, ledger, clockRate, guardsCapacity = true, remembersCursor = false } = this.#opts
    const bornMs = this.#opts.bornMs?.(this.#startedCount)
    const speed = this.#opts.speeds?.[at]
    const upstream = new FakeUpstream({
      upstreamId: bornMs === undefined ? `life${this.#startedCount}` : `upstream${at}`,
      ...(bornMs === undefined ? {} : { bornMs }),
      ...(speed === undefined ? {} : { speed }),
      address,
      clock,
      clockRate,
      ledger,
      guardsCapacity,
      remembersCursor,
      onCrashingRun: () => {
        this.crash(at, this.#opts.downMs ?? defaultDownMs)
      },
    })
    upstream.statesBirth = this.#opts.statesBirth ?? true
    this.#byAddress.set(address, upstream)
  }
}
