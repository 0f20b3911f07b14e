/** The progress of runs that take a known time. */
import { runKey, type RunRef } from '@nettlespur/batch.model'
import type { Clock } from '@nettlespur/core.clock'

/** A run reports less than 100 % until it has ended. */
const runningPercentMax = 99
const wholePercent = 100

export class RunProgress {
  readonly #clock: Clock
  readonly #spans = new Map<string, { begunAtMs: number; runTimeMs: number }>()

  constructor(clock: Clock) {
    this.#clock = clock
  }

  begin(runs: readonly RunRef[], runTimeMs: number): void {
    const begunAtMs = this.#clock.monotonicMs()
    for (const run of runs) this.#spans.set(runKey(run), { begunAtMs, runTimeMs })
  }

  end(run: RunRef): void {
    this.#spans.delete(runKey(run))
  }

  /** Returns 0 for a run that has not begun. */
  read(run: RunRef): number {
    const span = this.#spans.get(runKey(run))
    if (span === undefined) return 0
    const { begunAtMs, runTimeMs } = span
    const percent = (wholePercent * (this.#clock.monotonicMs() - begunAtMs)) / runTimeMs
    return Math.min(Math.floor(percent), runningPercentMax)
  }
}
