/**
 * What a group of control owes its callers once all is calm, over many schedules of troubles. Once at the end
 * of a day the state of an accepted job was not to be had, seconds after the last trouble. Here five members
 * with their own logs on disks and links in memory go through kills, losses of power, lost disks, pauses, cuts,
 * slow, hanging and full disks, planned stops and replacements that overlap; then nothing happens any more. From
 * 6.45 s on (three rounds of an election of 1.75 s each, and 1.2 s for a leader that reads twice) all members
 * name the leader, 150 reads at once are answered, and so is each read for 30 s more.
 */
import test, { type ExecutionContext } from 'ava'
import { simulateGroup } from '../__utils__/group/index.js'

/** `CALM_SEEDS=N` plays as many, from `CALM_FROM` on. */
const seedCount = Number(process.env.CALM_SEEDS ?? 4)
const fromSeed = Number(process.env.CALM_FROM ?? 1)

async function assertRecovers(t: ExecutionContext, seed: number) {
  const { group } = await simulateGroup(seed)
  const { violations, trace } = group
  const report = violations.length === 0 ? '' : [...trace, group.describe()].join('\n')
  t.deepEqual(violations, [], `seed ${seed}\n${report}`)
}

test('whatever befell a group, once it is calm every member names the leader and every read is answered', async (t) => {
  for (let seed = fromSeed; seed < fromSeed + seedCount; seed++) await assertRecovers(t, seed)
})
