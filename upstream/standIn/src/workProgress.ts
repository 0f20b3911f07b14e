/** How far simulated work has come: it advances with the clock at the processor share it is given. */
import type { Clock, Timer } from '@nettlespur/core.clock'

export interface WorkProgressOptions {
  clock: Clock
  /** At full processor share. */
  runTimeMs: number
  /** Work already done by a former attempt. */
  doneMs: number
  onDone: () => void
}

export class WorkProgress {
  readonly #opts: WorkProgressOptions
  #cpuShare = 1
  #doneMs: number
  #countedAtMs = 0
  #timer: Timer | undefined

  constructor(opts: WorkProgressOptions) {
    this.#opts = opts
    this.#doneMs = opts.doneMs
  }

  /** Work of no length ends before this returns. */
  run(): void {
    this.#countedAtMs = this.#opts.clock.monotonicMs()
    const remainingMs = this.#opts.runTimeMs - this.#doneMs
    if (remainingMs <= 0) this.#opts.onDone()
    else this.#timer = this.#opts.clock.setTimer(remainingMs / this.#cpuShare, this.#opts.onDone)
  }

  /** Work done so far, in milliseconds at full share. */
  countDoneMs(): number {
    const nowMs = this.#opts.clock.monotonicMs()
    this.#doneMs += (nowMs - this.#countedAtMs) * this.#cpuShare
    this.#countedAtMs = nowMs
    return this.#doneMs
  }

  setCpuShare(cpuShare: number): void {
    this.countDoneMs()
    this.#cpuShare = cpuShare
    this.cancel()
    this.run()
  }

  cancel(): void {
    this.#timer?.cancel()
  }
}
