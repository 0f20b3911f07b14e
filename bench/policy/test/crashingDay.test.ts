/** Troubled days on which one job in fifty brings down the upstreams that start it, and what that costs the others. */
import test from 'ava'
import { createCrashingDay, cscfba, fsww, playDay, thapa } from '../src/index.js'

const seeds = [1, 2, 3, 4]
/** Agreed with the users: three crashes of a task, and two more starts. */
const crashesPerTaskMax = 5

test('no sound job is given up beside jobs that crash their upstreams, and each of these crashes a bounded number', (t) => {
  for (const deployment of [thapa, cscfba, fsww]) {
    for (const seed of seeds) {
      const day = createCrashingDay(deployment, seed)
      const { crashes, givenUpSound } = playDay(day, seed)
      const crashing = day.jobs.filter(({ request }) =>
        day.troubles.crashingJobs.has(request.jobId),
      )
      const tasks = crashing.flatMap(({ request }) =>
        request.steps.map(({ taskCount }) => taskCount),
      )
      const taskCount = tasks.reduce((sum, count) => sum + count, 0)
      t.is(givenUpSound, 0, `${deployment.name}, seed ${seed}`)
      t.true(crashes <= taskCount * crashesPerTaskMax, `${crashes} crashes of ${taskCount} tasks`)
    }
  }
})
