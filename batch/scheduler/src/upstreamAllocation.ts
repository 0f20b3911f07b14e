/** The capacity of one upstream within a round: each decision leaves less for the next ones. */
import type { Resources } from '@nettlespur/batch.model'
import { addResources, countFitting, noResources } from './resources.js'
import type { SchedulableUpstream } from './schedulerView.js'
import { getSpeedRange, type SpeedRange } from './speedRange.js'

/** Capacity that stays free on an upstream once a gang with a reservation starts there at `fromMs`. */
interface Reservation {
  readonly fromMs: number
  free: Resources
}

export class UpstreamAllocation {
  readonly view: SchedulableUpstream
  free: Resources
  freeAfterStops: Resources
  /** Capacity that no run uses; some of it may be allocated to units that wait for other runs to stop. */
  idle: Resources
  readonly reservations: Reservation[] = []
  /** The speed from which the ends of runs here are estimated; 1 in pools that are not placed by speed. */
  expectedSpeed = 1
  /** Set only in pools that call for placement by speed. */
  speedRange: SpeedRange | undefined
  /** This round starts a run on the upstream. */
  #hasNewRun = false

  constructor(view: SchedulableUpstream) {
    this.view = view
    this.free = view.free
    this.freeAfterStops = view.freeAfterStops
    this.idle = view.free
  }

  get upstreamId(): string {
    return this.view.upstreamId
  }

  /** Whether a crash could be attributed to a run that starts here. */
  get isSuitableForTrial(): boolean {
    return !this.#hasNewRun && this.view.isSuitableForTrial
  }

  /** Takes what is known of the upstream's speed into account from now on. */
  applySpeed(): void {
    const { speed } = this.view
    this.expectedSpeed = speed.mean
    this.speedRange = getSpeedRange(speed)
  }

  /** Prevents further starts on the upstream in this round. */
  blockStarts(): void {
    this.free = noResources
    this.freeAfterStops = noResources
  }

  /** Allocates capacity for one task that starts now and ends at `endMs`. */
  place(needs: Resources, endMs: number): void {
    this.idle = addResources(this.idle, needs, -1)
    this.allocate(needs, endMs)
  }

  /** Allocates capacity for one task that ends at `endMs`, and that may start only once other runs have stopped. */
  allocate(needs: Resources, endMs: number): void {
    this.#hasNewRun = true
    this.free = addResources(this.free, needs, -1)
    this.freeAfterStops = addResources(this.freeAfterStops, needs, -1)
    for (const reservation of this.reservations) {
      if (reservation.fromMs < endMs) reservation.free = addResources(reservation.free, needs, -1)
    }
  }

  /** Returns how many tasks that end at `endMs` fit, without delaying gangs whose reservations begin before. */
  countUnreserved(needs: Resources, endMs: number): number {
    let count = countFitting(this.free, needs)
    for (const { fromMs, free } of this.reservations) {
      if (fromMs < endMs) count = Math.min(count, countFitting(free, needs))
    }
    return count
  }
}
