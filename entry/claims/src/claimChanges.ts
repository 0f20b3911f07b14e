/**
 * Sends changes of claims to control: those that wait while a call is under way go together in the next,
 * and so share one commit. Each change is safe to send again, so a change of leader is waited out.
 */
import type { Claim, ClaimChange } from '@nettlespur/api.schemas'
import type { ControlApi } from '@nettlespur/control.api'
import type { Clock } from '@nettlespur/core.clock'
import {
  fromRpcResult,
  NettlespurError,
  toNettlespurError,
  unwrap,
  type ErrorKind,
} from '@nettlespur/core.errors'
import { Left, type Either } from 'purify-ts'

const changesPerCallMax = 64
const callsAtOnceMax = 4
const pauseMs = 100

/** Failures that leave open whether control has taken the change, or that a change of leader explains. */
export const transientKinds: ReadonlySet<ErrorKind> = new Set([
  'outcome-unknown',
  'unreachable',
  'not-leader',
  'no-quorum',
])

type Result = Either<NettlespurError, Claim>

interface Waiting {
  readonly change: ClaimChange
  readonly resolve: (result: Result) => void
}

export class ClaimChanges {
  readonly #clock: Clock
  readonly #control: Pick<ControlApi, 'changeClaims'>
  #waiting: Waiting[] = []
  #calls = 0

  constructor(clock: Clock, control: Pick<ControlApi, 'changeClaims'>) {
    this.#clock = clock
    this.#control = control
  }

  /** The claim as it stands after the change. Throws control's refusal, or a transient kind at the deadline. */
  async commit(change: ClaimChange, deadlineAtMs: number): Promise<Claim> {
    for (;;) {
      const result = await this.#send(change)
      if (result.isRight()) return result.unsafeCoerce()
      const error = toNettlespurError(result.extract())
      if (!transientKinds.has(error.kind)) throw error
      if (this.#clock.monotonicMs() + pauseMs >= deadlineAtMs) throw error
      await this.#clock.sleep(pauseMs)
    }
  }

  #send(change: ClaimChange): Promise<Result> {
    return new Promise((resolve) => {
      this.#waiting.push({ change, resolve })
      this.#callNext()
    })
  }

  #callNext(): void {
    if (this.#waiting.length === 0 || this.#calls >= callsAtOnceMax) return
    const batch = this.#waiting.splice(0, changesPerCallMax)
    this.#calls += 1
    void this.#call(batch).finally(() => {
      this.#calls -= 1
      this.#callNext()
    })
  }

  async #call(batch: readonly Waiting[]): Promise<void> {
    const changes = batch.map(({ change }) => change)
    const failed = new NettlespurError('outcome-unknown', 'control gave no result for this claim')
    try {
      const results = await unwrap(this.#control.changeClaims(changes))
      batch.forEach(({ resolve }, index) => {
        const result = results[index]
        resolve(result === undefined ? Left(failed) : fromRpcResult(result))
      })
    } catch (thrown) {
      for (const { resolve } of batch) resolve(Left(toNettlespurError(thrown)))
    }
  }
}
