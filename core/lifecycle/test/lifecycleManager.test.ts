import test from 'ava'
import { ManualClock } from '@nettlespur/core.clock'
import { LifecycleManager, type CleanUpFault } from '../src/index.js'

test('clean-up runs once, last opened first', async (t) => {
  const seen: string[] = []
  const lifecycle = new LifecycleManager({ clock: new ManualClock(), drainDeadlineMs: 100 })
  lifecycle.own('first', () => void seen.push('first'))
  lifecycle.own('second', () => void seen.push('second'))
  await Promise.all([lifecycle.stop(), lifecycle.stop()])
  t.deepEqual(seen, ['second', 'first'])
})

test('a step that hangs is reported at the deadline and the others still run', async (t) => {
  const clock = new ManualClock()
  const faults: CleanUpFault[] = []
  const seen: string[] = []
  const onFault = (fault: CleanUpFault) => void faults.push(fault)
  const lifecycle = new LifecycleManager({ clock, drainDeadlineMs: 100, onFault })
  lifecycle.own('good', () => void seen.push('good'))
  lifecycle.own('hangs', () => new Promise(() => undefined))
  const stopped = lifecycle.stop()
  await clock.advance(100)
  await stopped
  t.deepEqual(seen, ['good'])
  t.deepEqual(
    faults.map((fault) => fault.name),
    ['hangs'],
  )
})
