/**
 * Members that all answer after 350 ms, as over a congested link or on slow processors: later than a search waits for
 * them, but within the 700 ms of a call and the 1,000 ms of a caller. Calls must still be answered, and the process
 * must not report that it reaches no member: all processes see the same delay, and the balancer would take out all of
 * them.
 */
import test, { type ExecutionContext } from 'ava'
import { startWatchedGroup, type MemberGroup } from '../__utils__/index.js'

const answerMs = 350

async function startSlowGroup(t: ExecutionContext): Promise<MemberGroup> {
  const group = await startWatchedGroup(t)
  for (const at of [0, 1, 2]) group.link(at).delayAnswer = () => group.clock.sleep(answerMs)
  return group
}

test('a process whose members all answer late does not report them as unreachable', async (t) => {
  const group = await startSlowGroup(t)
  await group.settle(group.clock.sleep(10_000))
  t.deepEqual(group.recorder.findEvents('members.unreachable'), [])
  t.true(group.client.canReachMembers)
})

test('every read is answered while all members answer late', async (t) => {
  const group = await startSlowGroup(t)
  const outcomes: unknown[] = []
  for (let at = 0; at < 10; at++) {
    await group.settle(group.clock.sleep(730))
    const asked = group.client.getJobState({ host: 'h', path: '/q/a', jobId: 'a' }).run()
    outcomes.push((await group.settle(asked)).outcome.extract())
  }
  t.deepEqual(outcomes, Array(10).fill('completed'))
})
