/**
 * The leader's estimate of a relay's clocks, by which an order says how long it may be sent. A relay that was frozen finds
 * one of its clocks past that time. Both clocks count: the monotonic one may stand still while an instance is suspended,
 * and the wall clock may be set back.
 */
import type { RelayClockReading } from './relayMessages.js'

/** Members' clocks run up to 2 % slower than the leader's. */
const slowestRate = 0.98

export class RelayClock {
  #reading: RelayClockReading | undefined
  #receivedAtMs = 0

  get hasReading(): boolean {
    return this.#reading !== undefined
  }

  /** Records the newest reading, which is slightly old when it arrives: the estimate then is too early, never too late. */
  note(reading: RelayClockReading, receivedAtMs: number): void {
    this.#reading = reading
    this.#receivedAtMs = receivedAtMs
  }

  /** What the relay's clocks show, at the earliest, `aheadMs` after `nowMs`. -Infinity before the first reading. */
  estimateMs(nowMs: number, aheadMs: number): RelayClockReading {
    const { monotonicMs, wallMs } = this.#reading ?? { monotonicMs: -Infinity, wallMs: -Infinity }
    const elapsedMs = (nowMs + aheadMs - this.#receivedAtMs) * slowestRate
    return { monotonicMs: monotonicMs + elapsedMs, wallMs: wallMs + elapsedMs }
  }
}
