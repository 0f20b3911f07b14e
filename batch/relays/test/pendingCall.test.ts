/** Guards against a leader that stood still for a moment and gives up calls whose outcomes it has not read yet. */
import { ManualClock, type Timer } from '@nettlespur/core.clock'
import test from 'ava'
import { PendingCall } from '../src/pendingCall.js'

/** A clock whose timers run when the test says so, as all that are due do first after a standstill. */
class HeldClock extends ManualClock {
  readonly due: (() => void)[] = []

  override setTimer(_delayMs: number, run: () => void): Timer {
    this.due.push(run)
    return { cancel: () => undefined }
  }
}

function createCall(clock: HeldClock): PendingCall {
  const call = new PendingCall({
    callId: 1,
    to: { upstreamId: 'u', address: '127.0.0.1:9000' },
    order: { type: 'stop', run: { jobId: 'job', step: 0, index: 0, attempt: 1 }, fence: 1 },
    timeoutMs: 500,
    clock,
    onSettled: () => undefined,
    onOverdue: () => undefined,
  })
  call.mayHaveBeenSent = true
  return call
}

test('an outcome that is read right after the deadline has passed unnoticed settles the call', async (t) => {
  const clock = new HeldClock()
  const call = createCall(clock)
  for (const run of clock.due) run()
  call.settle({ type: 'stop', answer: { type: 'stopping' } })
  t.like(await call.outcome, { type: 'stop' })
})

test('without an outcome the call ends as unknown at its deadline', async (t) => {
  const clock = new HeldClock()
  const call = createCall(clock)
  for (const run of clock.due) run()
  await t.throwsAsync(call.outcome, { message: 'no answer within 500 ms' })
})
