/** Guards against a RangeError for lists that are longer than the arguments of a call may be. */
import test from 'ava'
import { addAll, maxOf, minOf } from '../src/index.js'

const length = 1_000_000
const numbers = Array.from({ length }, (_, at) => at)

test('the extremes of a million numbers are found, and those of none are infinite', (t) => {
  t.is(maxOf(numbers), length - 1)
  t.is(minOf(numbers), 0)
  t.is(maxOf([]), -Infinity)
  t.is(maxOf([], 0), 0)
  t.is(minOf([]), Infinity)
})

test('a million items are appended in their order', (t) => {
  const list = [-1]
  addAll(list, numbers)
  t.is(list.length, length + 1)
  t.is(list.at(-1), length - 1)
})
