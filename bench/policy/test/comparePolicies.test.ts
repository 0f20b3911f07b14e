/**
 * The comparison of variants. If its days were not the same for both variants, or a part stayed on in both, the difference
 * would say nothing about the part.
 */
import test from 'ava'
import { comparePolicies } from '../src/comparePolicies.js'
import { compareVariants } from '../src/compareVariants.js'
import { createCrowdedDay } from '../src/crowdedDay.js'
import { growDeployment, thapa } from '../src/deployment.js'
import { rosters } from '../src/hardDeployments.js'
import { computePairedDifference } from '../src/pairedDifference.js'
import { playDay } from '../src/playDay.js'
import { allParts, defaultParts } from '../src/policyParts.js'

const small = growDeployment(rosters, 40)

test('the standard error is that of the differences, not that of the days', (t) => {
  const figure = computePairedDifference([1, 11, 6], [0, 10, 5])
  t.deepEqual(figure, { without: 5, with: 6, difference: 1, standardError: 0 })
  t.is(computePairedDifference([2, 4], [1, 1]).standardError, 1)
})

test('variants that lack nothing do not differ', (t) => {
  const opts = {
    deployment: small,
    dayKind: 'troubled',
    seeds: [1, 2],
    areSpeedsKnown: false,
  } as const
  const figures = compareVariants({ ...opts, without: [] })
  const played = figures.filter(({ name }) => !name.startsWith('round_'))
  for (const { name, difference } of played) t.is(difference, 0, name)
})

test('with known speeds urgent work on graded upstreams is on time more often', (t) => {
  const opts = {
    deployment: small,
    dayKind: 'crowded',
    seeds: [1, 2, 3],
    areSpeedsKnown: true,
  } as const
  const figures = compareVariants({ ...opts, without: ['speeds'] })
  const urgent = figures.find(({ name }) => name === 'urgent_on_time') ?? t.fail()
  t.true(urgent.difference > 2 * urgent.standardError, `${urgent.difference}`)
})

test('learned speeds change nothing on upstreams that are equally fast', (t) => {
  const day = createCrowdedDay(growDeployment(thapa, 16), 2)
  t.deepEqual(playDay(day, 2, allParts).verdict, playDay(day, 2, defaultParts).verdict)
})

test('wrong arguments are answered with the usage', (t) => {
  for (const argv of [
    ['--mix', 'none'],
    ['--days', '3-1'],
    ['--without', 'all'],
    ['--load', '0'],
    ['--kind', 'x'],
    ['y'],
  ]) {
    const lines: string[] = []
    t.is(
      comparePolicies(argv, (line) => lines.push(line)),
      2,
      argv.join(' '),
    )
    t.true(lines[0]?.startsWith('usage: '))
  }
})
