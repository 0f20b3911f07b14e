import test from 'ava'
import { ManualClock } from '../src/index.js'

test('timers run in the order they are due, at their own time', async (t) => {
  const clock = new ManualClock()
  const seen: [string, number][] = []
  clock.setTimer(20, () => seen.push(['late', clock.monotonicMs()]))
  clock.setTimer(10, () => seen.push(['early', clock.monotonicMs()]))
  await clock.advance(15)
  t.deepEqual(seen, [['early', 10]])
  await clock.advance(15)
  t.deepEqual(seen, [
    ['early', 10],
    ['late', 20],
  ])
})

test('a sleep ends at once when its signal is aborted', async (t) => {
  const clock = new ManualClock()
  const abort = new AbortController()
  const asleep = clock.sleep(1000, abort.signal)
  abort.abort()
  await asleep
  t.is(clock.pendingTimers, 0)
})
