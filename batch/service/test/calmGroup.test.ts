/**
 * Recovery of a control group after random schedules of faults. Guards against accepted jobs whose state cannot be
 * read seconds after the last fault. Five members, each with its own log, run on disks and links in memory. They go
 * through overlapping kills, power losses, lost disks, pauses, cuts, slow, hanging and full disks, planned stops and
 * replacements; then all faults end. After three election rounds, and the time in which a leader repeats its first read,
 * all members name the leader, 150 concurrent reads are answered, and so is each read for 30 s more.
 */
import test, { type ExecutionContext } from 'ava'
import { platformElectionTimeoutMs, simulateGroup } from '../__utils__/group/index.js'

/** `CALM_SEEDS=N` runs N seeds, the first of which is `CALM_FROM`. */
const seedCount = Number(process.env.CALM_SEEDS ?? 4)
const fromSeed = Number(process.env.CALM_FROM ?? 1)

async function assertRecovers(t: ExecutionContext, seed: number, electionTimeoutMs?: number) {
  const { group } = await simulateGroup(seed, { electionTimeoutMs })
  const { violations, trace } = group
  const report = violations.length === 0 ? '' : [...trace, group.describe()].join('\n')
  t.deepEqual(violations, [], `seed ${seed}\n${report}`)
}

test('after any schedule of faults, every member names the leader and every read is answered', async (t) => {
  for (let seed = fromSeed; seed < fromSeed + seedCount; seed++) await assertRecovers(t, seed)
})

test('the same holds with the election timeout of the platform', async (t) => {
  for (let seed = fromSeed; seed < fromSeed + seedCount; seed++)
    await assertRecovers(t, seed, platformElectionTimeoutMs)
})
