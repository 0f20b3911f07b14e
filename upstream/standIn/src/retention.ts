/**
 * What is kept of tasks that have ended: whole answers for a set time and a bounded number, the bare
 * records longer, as they keep a task from running twice.
 */
import type { Clock } from '@nettlespur/core.clock'
import type { StandInTask } from './standInTask.js'

const recordsMax = 50_000

export interface RetentionOptions {
  clock: Clock
  keepAnswersMs: number
  answersMax: number
  /** Told of each record that is dropped. */
  onDrop: (task: StandInTask) => void
}

export class Retention {
  readonly #opts: RetentionOptions
  readonly #withAnswer = new Set<StandInTask>()
  readonly #records = new Set<StandInTask>()

  constructor(opts: RetentionOptions) {
    this.#opts = opts
  }

  /** Oldest first. */
  list(): StandInTask[] {
    return [...this.#records]
  }

  add(task: StandInTask): void {
    this.#records.add(task)
    if (task.answer !== undefined) this.#withAnswer.add(task)
    this.trim()
  }

  /** Drops what is past its time or over its number, oldest first. */
  trim(): void {
    for (const task of this.#withAnswer) {
      if (this.#withAnswer.size <= this.#opts.answersMax && !this.#isPastTime(task)) break
      this.#withAnswer.delete(task)
      task.answer = undefined
    }
    for (const task of this.#records) {
      if (this.#records.size <= recordsMax) break
      this.#records.delete(task)
      this.#opts.onDrop(task)
    }
  }

  #isPastTime(task: StandInTask): boolean {
    const endedAtMs = task.endedAtMs ?? 0
    return this.#opts.clock.monotonicMs() >= endedAtMs + this.#opts.keepAnswersMs
  }
}
