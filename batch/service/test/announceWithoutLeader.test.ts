/**
 * Guards against members that hold announcements although they reach no leader: an upstream that is about to leave
 * loses about a second at each member that is cut off, and meanwhile work is still placed on it.
 */
import { NettlespurError } from '@nettlespur/core.errors'
import test from 'ava'
import { startWatchedGroup, type MemberGroup } from '../__utils__/index.js'

const all = [0, 1, 2, 3, 4]
/** Well below the second after which an upstream tries another member by itself. */
const maxRefusalMs = 400

async function announce({ client, clock }: MemberGroup) {
  const startMs = clock.monotonicMs()
  const outcome = await client
    .announce({
      upstreamId: 'u',
      pool: 'pool',
      address: '127.0.0.1:9000',
      dataCentre: 'centre',
      rack: 'r1',
      labels: [],
      capacity: { cpuMillicores: 1000, memoryMiB: 1000, accelerators: 8 },
      isDraining: true,
      sequence: 1,
      clockMs: 0,
    })
    .run()
  const { kind } = outcome.swap().orDefault(new NettlespurError('not-leader', 'done'))
  return { isAccepted: outcome.isRight(), kind, tookMs: clock.monotonicMs() - startMs }
}

function stepDown(group: MemberGroup): void {
  group.member(0).answer = () => Promise.reject(new NettlespurError('not-leader', 'stepped down'))
  group.member(0).view = { ...group.member(0).view, leaderAddress: undefined }
}

test('an announcement is refused soon if no leader is found', async (t) => {
  const group = await startWatchedGroup(t, all.length)
  stepDown(group)
  const { isAccepted, kind, tookMs } = (await group.settle(announce(group))).outcome
  t.false(isAccepted)
  t.is(kind, 'not-leader')
  t.true(tookMs <= maxRefusalMs, `${tookMs} ms`)
})

test('an announcement still reaches a leader that is elected a moment later', async (t) => {
  const group = await startWatchedGroup(t, all.length)
  stepDown(group)
  const announcing = announce(group)
  await group.settle(group.clock.sleep(60))
  group.nameLeader(1, 2, all)
  t.true((await group.settle(announcing)).outcome.isAccepted)
})
