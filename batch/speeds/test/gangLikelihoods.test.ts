/** The likelihood of a gang's pace for each member, against the sum over all combinations of speeds. */
import test from 'ava'
import fc from 'fast-check'
import { computeGangLikelihoods } from '../src/computeGangLikelihoods.js'
import { computeSlowest } from '../src/computeSlowest.js'
import { normalise } from '../src/speedGrid.js'

const width = 4
const positive = fc.double({ min: 0.01, max: 1, noNaN: true })
const row = fc.array(positive, { minLength: width, maxLength: width })
const members = fc.array(row.map(normalise), { minLength: 1, maxLength: 3 })

/** Lists each combination of speeds of the members with its probability. */
function listCombinations(rows: readonly (readonly number[])[]): [number[], number][] {
  const [first, ...others] = rows
  if (first === undefined) return [[[], 1]]
  return first.flatMap((share, speed) =>
    listCombinations(others).map(([tail, probability]): [number[], number] => {
      return [[speed, ...tail], share * probability]
    }),
  )
}

function isClose(one: number | undefined, other: number): boolean {
  return one !== undefined && Math.abs(one - other) < 1e-9
}

test('the likelihood for a member is the mean over all speeds of the others, with the slowest of all deciding', (t) => {
  fc.assert(
    fc.property(members, row, (rows, likelihood) =>
      computeGangLikelihoods(rows, likelihood).every((ofMember, member) => {
        const others = listCombinations(rows.filter((_, at) => at !== member))
        return ofMember.every((value, speed) => {
          const expected = others.map(([speeds, probability]) => {
            return probability * (likelihood[Math.min(speed, ...speeds)] ?? 0)
          })
          return isClose(
            value,
            expected.reduce((sum, term) => sum + term, 0),
          )
        })
      }),
    ),
  )
  t.pass()
})

test('the slowest of several has the probability of all combinations in which it is the slowest', (t) => {
  fc.assert(
    fc.property(members, (rows) => {
      const slowest = computeSlowest(rows)
      const expected = Array.from({ length: width }, () => 0)
      for (const [speeds, probability] of listCombinations(rows)) {
        const least = Math.min(...speeds)
        expected[least] = (expected[least] ?? 0) + probability
      }
      return expected.every((value, speed) => isClose(slowest[speed], value))
    }),
  )
  t.pass()
})

// Blaming all members of a slow gang would make fast upstreams unusable for urgent work.
test('a slow pace says little of a member while another is known to be slow', (t) => {
  const certainlySlow = [0.97, 0.01, 0.01, 0.01]
  const unknown = [0.25, 0.25, 0.25, 0.25]
  const [, ofUnknown = []] = computeGangLikelihoods([certainlySlow, unknown], [1, 0.1, 0.1, 0.1])
  const [slow = 0, , , fast = 0] = ofUnknown
  t.true(fast / slow > 0.95)
})
