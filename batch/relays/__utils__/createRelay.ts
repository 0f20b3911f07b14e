/** A relay whose clocks a test sets by hand, and the messages to it. */
import {
  UpstreamPort,
  type HoldAnswer,
  type StartAnswer,
  type StopAnswer,
} from '@nettlespur/batch.sessions'
import { ManualClock, type Clock, type Timer } from '@nettlespur/core.clock'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import { Relay } from '../src/index.js'
import type { OrderBatch, RelayedCall } from '../src/relayMessages.js'

/** Clocks of a relay: the monotonic one can stand still while time passes, and the wall clock can be set back. */
export class SteppedClock implements Clock {
  readonly base = new ManualClock()
  suspendedMs = 0
  wallStepMs = 0

  now(): Date {
    return new Date(this.base.monotonicMs() + this.wallStepMs)
  }

  monotonicMs(): number {
    return this.base.monotonicMs() - this.suspendedMs
  }

  setTimer(delayMs: number, run: () => void): Timer {
    return this.base.setTimer(delayMs, run)
  }

  sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    return this.base.sleep(durationMs, signal)
  }
}

export class CountingPort extends UpstreamPort {
  starts = 0

  override start(): Promise<StartAnswer> {
    this.starts += 1
    return Promise.resolve({ type: 'started', clockMs: undefined })
  }

  override stop(): Promise<StopAnswer> {
    return Promise.resolve({ type: 'stopping', clockMs: undefined })
  }

  override hold(): Promise<HoldAnswer> {
    return Promise.resolve({ type: 'fence', clockMs: undefined })
  }
}

export function createRelay() {
  const clock = new SteppedClock()
  const port = new CountingPort()
  const metrics = new MetricsRegistry()
  const relay = new Relay({ clock, metrics, port })
  /** A batch of one start, to be sent within 500 ms on both clocks of the relay. */
  const createBatch = (callId: number, term = 1): OrderBatch => ({
    term,
    relayId: relay.relayId,
    servingAddresses: ['127.0.0.1:7001', '127.0.0.1:7002'],
    calls: [createCall(callId, clock)],
  })
  return { clock, port, metrics, relay, createBatch }
}

function createCall(callId: number, clock: SteppedClock): RelayedCall {
  return {
    callId,
    to: { upstreamId: 'upstream', address: '127.0.0.1:9000' },
    order: {
      type: 'start',
      run: { jobId: 'job', step: 0, index: 0, attempt: 1 },
      payload: '',
      checkpoint: '',
      leaseEndMs: 1000,
      fence: 1,
    },
    timeoutMs: 500,
    sendBy: { monotonicMs: clock.monotonicMs() + 500, wallMs: clock.now().getTime() + 500 },
  }
}
