/**
 * Upstreams of known speeds that run gangs and steps of single tasks, with declared run times that are off and with
 * stragglers. The paces of the runs are observed as they end.
 */
import { UpstreamSpeeds, type SpeedDistribution } from '../src/index.js'

export interface SimulatedLoad {
  readonly seed: number
  /** Taken in turn by the upstreams. */
  readonly speeds: readonly number[]
  readonly upstreams: number
  readonly durationMs: number
  /** Number of gangs each second; their sizes are drawn from `gangSizes`. */
  readonly gangsPerSecond: number
  readonly gangSizes: readonly number[]
  /** Number of steps of single tasks each second. */
  readonly stepsPerSecond: number
  readonly tasksPerStep: number
}

/** Standard deviation of the log of declared by real run times. */
const declarationError = 0.5
/** Standard deviation of the log of the run times within a step. */
const variation = 0.15
const stragglerShare = 0.03
const stragglerFactor = 7
const millisecondsPerSecond = 1000

export class SimulatedFleet {
  readonly learned = new UpstreamSpeeds()
  readonly trueSpeeds: readonly number[]
  nowMs = 0
  readonly #load: SimulatedLoad
  #seed: number
  #jobs = 0

  constructor(load: SimulatedLoad) {
    this.#load = load
    this.#seed = load.seed
    const { speeds, upstreams } = load
    this.trueSpeeds = Array.from(
      { length: upstreams },
      (_, index) => speeds[index % speeds.length] ?? 1,
    )
  }

  play(): this {
    const { durationMs, gangsPerSecond, stepsPerSecond } = this.#load
    for (; this.nowMs < durationMs; this.nowMs += millisecondsPerSecond) {
      for (let gang = 0; gang < gangsPerSecond; gang += 1) this.#runGang()
      for (let step = 0; step < stepsPerSecond; step += 1) this.#runTasks()
    }
    return this
  }

  /** What is known of the upstreams whose true speed is `speed`. */
  list(speed: number): SpeedDistribution[] {
    return this.trueSpeeds.flatMap((trueSpeed, index) =>
      trueSpeed === speed ? [this.learned.get(`u${index}`, this.nowMs)] : [],
    )
  }

  #runGang(): void {
    const size = this.#pick(this.#load.gangSizes)
    const members = new Set<number>()
    while (members.size < size) members.add(this.#pickUpstream())
    const pace = Math.min(...[...members].map((member) => this.#drawPace(member)))
    this.#observe([...members], size, true, (this.#drawError() * pace) / this.#drawStraggling())
  }

  #runTasks(): void {
    const error = this.#drawError()
    this.#jobs += 1
    for (let task = 0; task < this.#load.tasksPerStep; task += 1) {
      const upstream = this.#pickUpstream()
      const pace = (error * this.#drawPace(upstream)) / this.#drawStraggling()
      this.#observe([upstream], this.#load.tasksPerStep, false, pace)
    }
  }

  #observe(upstreams: readonly number[], taskCount: number, isGang: boolean, pace: number): void {
    if (isGang) this.#jobs += 1
    this.learned.observe({
      upstreamIds: upstreams.map((upstream) => `u${upstream}`),
      step: { jobId: `j${this.#jobs}`, index: 0, taskCount },
      queue: isGang ? 'gangs' : 'tasks',
      isGang,
      pace,
      atMs: this.nowMs,
    })
  }

  #drawPace(upstream: number): number {
    return (this.trueSpeeds[upstream] ?? 1) * Math.exp(variation * this.#drawNormal())
  }

  #drawError(): number {
    return Math.exp(declarationError * this.#drawNormal())
  }

  #drawStraggling(): number {
    return this.#draw() < stragglerShare ? stragglerFactor : 1
  }

  #pickUpstream(): number {
    return Math.floor(this.#draw() * this.#load.upstreams)
  }

  #pick<T>(values: readonly T[]): T {
    const value = values[Math.floor(this.#draw() * values.length)]
    if (value === undefined) throw new Error('nothing to pick from')
    return value
  }

  #drawNormal(): number {
    return Math.sqrt(-2 * Math.log(1 - this.#draw())) * Math.cos(2 * Math.PI * this.#draw())
  }

  /** Mulberry32, a small generator whose seed makes the load repeatable. */
  #draw(): number {
    this.#seed = (this.#seed + 0x6d2b79f5) >>> 0
    let mixed = this.#seed
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}
