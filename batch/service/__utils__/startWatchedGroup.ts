/** Three members of which the first leads, and a client that keeps its way to the leader fresh. */
import type { ExecutionContext } from 'ava'
import { MemberGroup } from './memberGroup.js'

/** As the platform's processes have them. */
const timings = { callTimeoutMs: 700, patienceMs: 1000 }
/** Longer than the watch waits between looks. */
const firstLookMs = 1500

/** Stopped with the test. The watch has found the leader. */
export async function startWatchedGroup(t: ExecutionContext): Promise<MemberGroup> {
  const group = await MemberGroup.start(3, timings)
  const stopping = new AbortController()
  group.lead(0, 1, [0, 1, 2])
  const watching = group.client.watch(stopping.signal)
  t.teardown(async () => {
    stopping.abort()
    await group.settle(watching)
    await group.stop()
  })
  await group.settle(group.clock.sleep(firstLookMs))
  return group
}
