/** Draws demand that comes in waves and bursts: how often jobs arrive over a day, as a multiple of the mean. */
import type { SeededRandom } from '@nettlespur/bench.placement'
import type { JobKind } from './jobKind.js'

/** For some seconds of the day, these kinds come more often. */
export interface Burst {
  readonly kindNames: readonly string[]
  readonly times: { readonly least: number; readonly most: number }
  readonly lengthMs: number
}

/** Swings of the demand around its mean. */
export interface Waves {
  /** Largest deviation from the mean, as a share of it. */
  readonly share: number
  readonly periodMs: number
}

export interface DrawDemandOptions {
  waves: Waves
  bursts: readonly Burst[]
  lengthMs: number
}

interface DrawnBurst {
  readonly kindNames: readonly string[]
  readonly fromMs: number
  readonly toMs: number
  readonly times: number
}

export class DemandCurve {
  readonly #waves: Waves
  readonly #crestMs: number
  readonly #bursts: readonly DrawnBurst[]

  /** Draws where the waves begin. Bursts come at their crests, where they strain the deployment most. */
  constructor(random: SeededRandom, { waves, bursts, lengthMs }: DrawDemandOptions) {
    this.#waves = waves
    this.#crestMs = random.next() * waves.periodMs
    this.#bursts = bursts.map(({ kindNames, times, lengthMs: burstMs }) => {
      const crestsMs = listCrestsMs(this.#crestMs, waves.periodMs, lengthMs - burstMs)
      const middleMs = random.pick(crestsMs.map((crestMs) => [crestMs, 1] as const))
      const fromMs = middleMs - burstMs / 2
      const drawn = random.between(times.least, times.most)
      return { kindNames, times: drawn, fromMs, toMs: fromMs + burstMs }
    })
  }

  /** Arrivals of one kind within a day. */
  listArrivals(random: SeededRandom, kind: JobKind, lengthMs: number): number[] {
    const timesMax = this.#measureTimesMax(kind)
    const arrivals: number[] = []
    const meanMs = 1000 / (kind.jobsPerSecond * timesMax)
    for (
      let atMs = random.exponential(meanMs);
      atMs < lengthMs;
      atMs += random.exponential(meanMs)
    ) {
      if (random.chance(this.timesAt(kind, atMs) / timesMax)) arrivals.push(atMs)
    }
    return arrivals
  }

  timesAt({ name }: JobKind, atMs: number): number {
    const { share, periodMs } = this.#waves
    const wave = 1 + share * Math.cos((2 * Math.PI * (atMs - this.#crestMs)) / periodMs)
    return this.#bursts
      .filter(({ kindNames, fromMs, toMs }) => {
        return kindNames.includes(name) && atMs >= fromMs && atMs < toMs
      })
      .reduce((times, burst) => times * burst.times, wave)
  }

  #measureTimesMax({ name }: JobKind): number {
    return this.#bursts
      .filter(({ kindNames }) => kindNames.includes(name))
      .reduce((times, burst) => times * burst.times, 1 + this.#waves.share)
  }
}

/** Lists the crests up to `lastMs`, but always the first one. */
function listCrestsMs(firstMs: number, periodMs: number, lastMs: number): number[] {
  const count = 1 + Math.max(0, Math.floor((lastMs - firstMs) / periodMs))
  return Array.from({ length: count }, (_, at) => firstMs + at * periodMs)
}
