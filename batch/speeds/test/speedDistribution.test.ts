/** Guards against probabilities that decide something without evidence, or that jump with the wanted speed. */
import test from 'ava'
import fc from 'fast-check'
import { GridDistribution } from '../src/gridDistribution.js'
import { priorProbabilities } from '../src/prior.js'
import { normalise, speeds } from '../src/speedGrid.js'
import { certainSpeed, unknownSpeed } from '../src/index.js'

test('an unknown upstream has a mean speed of exactly 1, so that estimates without evidence stay as they are', (t) => {
  t.is(unknownSpeed.mean, 1)
  t.false(unknownSpeed.isKnown)
})

test('the prior has a mean of 1, as the unknown speed says of it', (t) => {
  t.true(Math.abs(new GridDistribution(priorProbabilities).mean - 1) < 0.001)
})

// Otherwise an urgent unit would take unknown upstreams for fast, or avoid them for good.
test('an unknown upstream counts neither as fast enough nor as too slow for two thirds of the usual speed', (t) => {
  t.true(unknownSpeed.atLeast(2 / 3) < 0.7)
  t.true(unknownSpeed.atLeast(2 / 3) > 0.3)
})

test('a certain speed is known, and is at least itself', (t) => {
  const speed = certainSpeed(0.6)
  t.is(speed.mean, 0.6)
  t.true(speed.isKnown)
  t.is(speed.atLeast(0.6), 1)
  t.is(speed.atLeast(0.61), 0)
})

test('any speed is at least zero, and none is infinite', (t) => {
  t.is(unknownSpeed.atLeast(0), 1)
  t.is(unknownSpeed.atLeast(-1), 1)
  t.is(unknownSpeed.atLeast(Infinity), 0)
})

// A step in the result would make decisions flip with the last digit of a deadline.
test('the probability falls gradually from 1 to 0 as the wanted speed rises', (t) => {
  const share = fc.double({ min: 0.001, max: 1, noNaN: true })
  const shares = fc.array(share, { minLength: speeds.length, maxLength: speeds.length })
  const wanted = fc.double({ min: 0.01, max: 10, noNaN: true })
  fc.assert(
    fc.property(shares, wanted, (weights, speed) => {
      const distribution = new GridDistribution(normalise(weights))
      const probability = distribution.atLeast(speed)
      const next = distribution.atLeast(speed * 1.001)
      return probability <= 1 && next >= 0 && next <= probability && probability - next < 0.01
    }),
  )
  t.pass()
})
