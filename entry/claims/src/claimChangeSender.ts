/**
 * Sends claim changes to control in batches: changes that wait for a free call are sent together and share
 * one commit. A change is safe to repeat, so it is retried after transient failures such as a change of leader.
 */
import type { Claim, ClaimChange } from '@nettlespur/api.schemas'
import type { ControlApi } from '@nettlespur/control.api'
import type { Clock } from '@nettlespur/core.clock'
import {
  AttemptHistory,
  fromRpcResult,
  NettlespurError,
  toNettlespurError,
  unwrap,
} from '@nettlespur/core.errors'
import { Left, type Either } from 'purify-ts'

const changesPerCallMax = 64
const concurrentCallsMax = 4
const retryPauseMs = 100

type ClaimResult = Either<NettlespurError, Claim>

interface PendingChange {
  readonly change: ClaimChange
  readonly resolve: (result: ClaimResult) => void
}

export class ClaimChangeSender {
  readonly #clock: Clock
  readonly #control: Pick<ControlApi, 'changeClaims'>
  #pending: PendingChange[] = []
  #callsInFlight = 0

  constructor(clock: Clock, control: Pick<ControlApi, 'changeClaims'>) {
    this.#clock = clock
    this.#control = control
  }

  /**
   * Returns the claim after the change. Throws control's refusal, or the last transient failure at the deadline; either as
   * `outcome-unknown` if an attempt may have changed the claim.
   */
  async commit(change: ClaimChange, deadlineAtMs: number): Promise<Claim> {
    const history = new AttemptHistory()
    for (;;) {
      const result = await this.#send(change)
      if (result.isRight()) return result.unsafeCoerce()
      const error = toNettlespurError(result.extract())
      history.record(error)
      const isOver = this.#clock.monotonicMs() + retryPauseMs >= deadlineAtMs
      if (!error.answer.isTransient || isOver) throw history.summarize(error)
      await this.#clock.sleep(retryPauseMs)
    }
  }

  #send(change: ClaimChange): Promise<ClaimResult> {
    return new Promise((resolve) => {
      this.#pending.push({ change, resolve })
      this.#sendNextBatch()
    })
  }

  #sendNextBatch(): void {
    if (this.#pending.length === 0 || this.#callsInFlight >= concurrentCallsMax) return
    const batch = this.#pending.splice(0, changesPerCallMax)
    this.#callsInFlight += 1
    void this.#sendBatch(batch).finally(() => {
      this.#callsInFlight -= 1
      this.#sendNextBatch()
    })
  }

  async #sendBatch(batch: readonly PendingChange[]): Promise<void> {
    const changes = batch.map(({ change }) => change)
    const missingResult = new NettlespurError(
      'outcome-unknown',
      'control gave no result for this claim',
    )
    try {
      const results = await unwrap(this.#control.changeClaims(changes))
      batch.forEach(({ resolve }, index) => {
        const result = results[index]
        resolve(result === undefined ? Left(missingResult) : fromRpcResult(result))
      })
    } catch (thrown) {
      for (const { resolve } of batch) resolve(Left(toNettlespurError(thrown)))
    }
  }
}
