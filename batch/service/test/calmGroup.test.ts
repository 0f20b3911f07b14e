/**
 * Recovery of a control group after random schedules of faults. Guards against accepted jobs whose state cannot be
 * read seconds after the last fault. Five members, each with its own log, run on disks and links in memory. They go
 * through overlapping kills, power losses, lost disks, pauses, cuts, slow, hanging and full disks, planned stops and
 * replacements; then all faults end. From 6.45 s on (three election rounds of 1.75 s each, and 1.2 s for a leader
 * that has to repeat its first read) all members name the leader, 150 concurrent reads are answered, and so is each
 * read for 30 s more.
 */
import test, { type ExecutionContext } from 'ava'
import { simulateGroup } from '../__utils__/group/index.js'

/** `CALM_SEEDS=N` runs N seeds, the first of which is `CALM_FROM`. */
const seedCount = Number(process.env.CALM_SEEDS ?? 4)
const fromSeed = Number(process.env.CALM_FROM ?? 1)

async function assertRecovers(t: ExecutionContext, seed: number) {
  const { group } = await simulateGroup(seed)
  const { violations, trace } = group
  const report = violations.length === 0 ? '' : [...trace, group.describe()].join('\n')
  t.deepEqual(violations, [], `seed ${seed}\n${report}`)
}

test('after any schedule of faults, every member names the leader and every read is answered', async (t) => {
  for (let seed = fromSeed; seed < fromSeed + seedCount; seed++) await assertRecovers(t, seed)
})
