/** Some members of which the first leads, and a client that keeps its way to the leader fresh. */
import type { ExecutionContext } from 'ava'
import { MemberGroup } from './memberGroup.js'

/** As the platform's processes have them. */
const timings = { callTimeoutMs: 700, patienceMs: 1000 }
/** Longer than the watch waits between looks. */
const firstCheckMs = 1500

/** Stopped with the test. The watch has found the leader. */
export async function startWatchedGroup(
  t: ExecutionContext,
  memberCount = 3,
): Promise<MemberGroup> {
  const group = await MemberGroup.start(memberCount, timings)
  const stopping = new AbortController()
  const all = Array.from({ length: memberCount }, (_, at) => at)
  group.nameLeader(0, 1, all)
  const watching = group.client.watch(stopping.signal)
  t.teardown(async () => {
    stopping.abort()
    await group.settle(watching)
    await group.stop()
  })
  await group.settle(group.clock.sleep(firstCheckMs))
  return group
}
