/** Guards against errors of declared run times, of one step or of a whole queue, that are taken for speed. */
import test from 'ava'
import { estimateDeclarationError } from '../src/estimateDeclarationError.js'
import { QueueErrors } from '../src/queueErrors.js'

const queue = { mean: 0.1, scatter: 0.5 }

function createPaces(logRatios: readonly number[], logVariance = 0.01) {
  return logRatios.map((logRatio) => ({ logRatio, logVariance }))
}

test('without other tasks the error is what was learned of the queue', (t) => {
  t.deepEqual(estimateDeclarationError([], queue), { log: 0.1, variance: 0.25 })
})

test('with many tasks on known upstreams the error is their median, and hardly uncertain', (t) => {
  const ratios = Array.from({ length: 15 }, (_, index) => 0.7 + (index - 7) * 0.02)
  const { log, variance } = estimateDeclarationError(createPaces(ratios), queue)
  t.true(Math.abs(log - 0.7) < 0.03)
  t.true(variance < 0.02)
})

test('one straggler among the tasks does not move the error', (t) => {
  const plain = estimateDeclarationError(createPaces([0.7, 0.7, 0.7, 0.7, 0.7]), queue)
  const withStraggler = estimateDeclarationError(createPaces([0.7, 0.7, 0.7, 0.7, -1.2]), queue)
  t.is(withStraggler.log, plain.log)
})

test('two tasks on unknown upstreams say less than the queue and one another together', (t) => {
  const { log, variance } = estimateDeclarationError(createPaces([0.7, 0.7], 0.25), queue)
  t.true(log > 0.15 && log < 0.6)
  t.true(variance > 0.05 && variance < 0.25)
})

/** Returns the value at the middle of each of `count` equal parts of a normal distribution, roughly. */
function listDeviations(count: number, scatter: number): number[] {
  return Array.from({ length: count }, (_, index) => {
    const share = (((index * 37) % count) + 0.5) / count
    return scatter * Math.log(share / (1 - share)) * 0.6
  })
}

test('the scatter and the mean of a queue are learned, and stragglers hardly change them', (t) => {
  const errors = new QueueErrors()
  const stragglerEvery = 33
  for (const [index, deviation] of listDeviations(990, 0.3).entries()) {
    errors.note(0.4 + deviation - (index % stragglerEvery === 0 ? Math.log(7) : 0), 0)
  }
  t.true(Math.abs(errors.mean - 0.4) < 0.12, `${errors.mean}`)
  t.true(errors.scatter > 0.25 && errors.scatter < 0.45, `${errors.scatter}`)
})

test('whatever is noted, the mean and the scatter of a queue stay within bounds', (t) => {
  const errors = new QueueErrors()
  for (let index = 0; index < 1000; index += 1) errors.note(index % 3 === 0 ? 50 : 40, 0)
  t.true(errors.mean <= Math.log(3) + 1e-9)
  t.true(errors.scatter >= 0.25 && errors.scatter <= 1)
  const exact = new QueueErrors()
  for (let index = 0; index < 1000; index += 1) exact.note(0, 1)
  t.is(exact.scatter, 0.25)
})
