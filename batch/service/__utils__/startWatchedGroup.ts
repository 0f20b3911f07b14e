/** Starts fake members, of which the first leads, and a client that watches the leader. */
import type { ExecutionContext } from 'ava'
import { MemberGroup } from './memberGroup.js'

/** The timings of the platform's processes. */
const timings = { callTimeoutMs: 700, patienceMs: 1000 }
/** Longer than the watch waits between two checks of the leader. */
const firstCheckMs = 1500

/** Resolves once the watch has found the leader. The group stops with the test. */
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
