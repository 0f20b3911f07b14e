/** Troubled days on a small deployment, and how a day is judged. */
import test from 'ava'
import { createTroubledDay, fsww, growDeployment, playDay } from '../src/index.js'
import { judgeDay, type JobOutcome } from '../src/judgeDay.js'

const small = growDeployment(fsww, 8)
const day = createTroubledDay(small, 3)

function judge(earnedShareOf: (at: number) => number, wastedCoreSeconds = 0) {
  const outcomes = day.jobs.map((job, at): JobOutcome => {
    const share = earnedShareOf(at)
    return { job, earned: job.value * share, isServed: share > 0 }
  })
  return judgeDay({ outcomes, goal: small.goal, wastedCoreSeconds })
}

test('a troubled day is the same each time it is played', (t) => {
  const first = playDay(day, 3)
  const second = playDay(createTroubledDay(small, 3), 3)
  t.deepEqual(first.verdict, second.verdict)
  t.is(first.wastedCoreSeconds, second.wastedCoreSeconds)
})

test('a day on which everything is earned has every part whole', (t) => {
  const { wholeDay, worstWindows, worstKind, worstWorkspace, servedInNines } = judge(() => 1)
  t.deepEqual([wholeDay, worstWindows, worstKind, worstWorkspace, servedInNines], [1, 1, 1, 1, 1])
})

test('one job left with nothing costs more in nines than over the whole day', (t) => {
  const whole = judge(() => 1)
  const lacking = judge((at) => (at === 0 ? 0 : 1))
  t.true(whole.servedInNines - lacking.servedInNines > whole.wholeDay - lacking.wholeDay)
  t.is(lacking.unserved, 1 / day.jobs.length)
})

test('work thrown away has its price', (t) => {
  t.true(judge(() => 1, 1000).total < judge(() => 1).total)
})

test('jobs on slower upstreams earn less', (t) => {
  const { troubles, upstreams } = day
  const withPace = (pace: number) => {
    const paces = new Map(upstreams.map(({ upstreamId }) => [upstreamId, pace]))
    return playDay({ ...day, troubles: { ...troubles, paces } }, 3).worth
  }
  t.true(withPace(0.5) < withPace(1))
})
