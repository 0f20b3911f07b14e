/** Guards against paces from readings that say nothing about the upstream, which would make it seem fast or slow. */
import test from 'ava'
import fc from 'fast-check'
import { PaceMeter } from '../src/paceMeter.js'

test('the pace is measured between two readings, so that a slow start does not count', (t) => {
  const meter = new PaceMeter(0)
  t.is(meter.read(0, 1000), undefined)
  t.deepEqual(meter.read(25, 1500), { progress: 0.25, elapsedMs: 500 })
  t.true(meter.isOver)
})

// Taken from 0 %, a run resumed at half would seem twice as fast or more.
test('a run that was resumed or inherited is measured from its first reading on', (t) => {
  const meter = new PaceMeter()
  t.is(meter.read(60, 100), undefined)
  t.deepEqual(meter.read(80, 1100), { progress: 0.2, elapsedMs: 1000 })
})

test('little progress or little time gives no pace yet', (t) => {
  const meter = new PaceMeter(0)
  meter.read(0, 0)
  t.is(meter.read(19, 5000), undefined)
  const quick = new PaceMeter(0)
  quick.read(0, 0)
  t.is(quick.read(50, 299), undefined)
  t.false(quick.isOver)
  t.deepEqual(quick.read(60, 300), { progress: 0.6, elapsedMs: 300 })
})

test('a run of which the beginning is known is measured as a whole at its end', (t) => {
  t.deepEqual(new PaceMeter(1000).end(3000), { progress: 1, elapsedMs: 2000 })
})

// A gang that waits seconds for its last member would seem slow, and all its upstreams with it.
test('the time before the first progress does not count', (t) => {
  const meter = new PaceMeter(0)
  meter.read(0, 100)
  meter.read(0, 2000)
  t.deepEqual(meter.read(30, 3000), { progress: 0.3, elapsedMs: 1000 })
})

test('a run that ends soon after its first reading is measured as a whole', (t) => {
  const meter = new PaceMeter(0)
  meter.read(90, 1800)
  t.deepEqual(meter.end(2000), { progress: 1, elapsedMs: 2000 })
})

test('an inherited run is measured at its end from its first reading on, and not without one', (t) => {
  const meter = new PaceMeter()
  meter.read(40, 1000)
  t.deepEqual(meter.end(2000), { progress: 0.6, elapsedMs: 1000 })
  t.is(new PaceMeter().end(2000), undefined)
})

// Otherwise a run that was inherited shortly before its end would seem many times too fast.
test('an inherited run whose upstream never reports progress gives no pace', (t) => {
  const meter = new PaceMeter()
  meter.read(0, 1000)
  t.is(meter.end(2000), undefined)
})

test('a run that ends too soon after its beginning gives no pace', (t) => {
  t.is(new PaceMeter(1000).end(1100), undefined)
})

test('a clock that stood still gives no pace', (t) => {
  const meter = new PaceMeter(1000)
  meter.read(10, 1000)
  t.is(meter.read(90, 1000), undefined)
  t.is(meter.end(1000), undefined)
})

for (const [what, percents] of [
  ['runs backwards', [50, 40]],
  ['is beyond the whole run', [101]],
  ['is negative', [-1]],
  ['is no number', [NaN]],
] as const) {
  test(`progress that ${what} is invalid, and nothing more is measured of the run`, (t) => {
    const meter = new PaceMeter(0)
    const readings = percents.map((percent, index) => meter.read(percent, 1000 * index))
    t.is(readings.at(-1), 'invalid')
    t.true(meter.isOver)
  })
}

test('whatever is read, a pace is positive and finite, and comes once at most', (t) => {
  const reading = fc.record({ percent: fc.double(), elapsedMs: fc.integer({ min: -5, max: 2000 }) })
  fc.assert(
    fc.property(fc.array(reading), fc.boolean(), (readings, isFromStart) => {
      const meter = new PaceMeter(isFromStart ? 0 : undefined)
      let atMs = 0
      let paces = 0
      for (const { percent, elapsedMs } of readings) {
        if (meter.isOver) break
        atMs += elapsedMs
        const pace = meter.read(percent, atMs)
        if (pace === undefined || pace === 'invalid') continue
        paces += 1
        if (!(pace.progress > 0 && pace.progress <= 1 && pace.elapsedMs >= 300)) return false
      }
      return paces <= 1
    }),
  )
  t.pass()
})
