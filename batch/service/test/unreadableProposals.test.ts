/**
 * Guards against changes that are committed although no member can read them: each member that applied one stopped, and
 * stopped again after every restart, so that the group never had a leader again.
 */
import { encodeCommand } from '@nettlespur/batch.state'
import test from 'ava'
import { ControlGroup } from '../__utils__/group/index.js'
import { createFleetConfig } from '../__utils__/createFleetConfig.js'

const answeredWithinMs = 1000
const beyondSafeIntegers = 2 ** 63

function createUnreadableConfig(version: number) {
  const config = createFleetConfig()
  const queues = config.queues.map((queue) => ({ ...queue, attemptsMax: beyondSafeIntegers }))
  return { ...config, version, queues }
}

test('a change that the members could not read is refused as not run, and the group goes on', async (t) => {
  const group = await ControlGroup.bootstrap(1)
  const { calls } = group.leader?.node ?? {}
  const refused = calls?.applyConfig(createUnreadableConfig(2)).run()
  await group.clock.advance(answeredWithinMs)
  const error = (await refused)?.swap().unsafeCoerce()
  t.is(error?.kind, 'invalid-field')
  t.is(error?.answer.ran, 'no')
  const next = group.leader?.node?.calls.applyConfig({ ...createFleetConfig(), version: 3 }).run()
  await group.clock.advance(answeredWithinMs)
  t.true((await next)?.isRight())
  t.true(group.liveMembers.every(({ node }) => node?.raft.fault === undefined))
  group.stopSubmitting()
})

test('a latency beyond the safe integers that an earlier version committed is applied by every member', async (t) => {
  const group = await ControlGroup.bootstrap(2)
  const config = createFleetConfig()
  const queues = config.queues.map((queue) => ({ ...queue, targetLatencyMs: beyondSafeIntegers }))
  const committed = { type: 'apply-config' as const, config: { ...config, version: 2, queues } }
  const stored = group.leader?.node?.raft.propose(encodeCommand(committed)).run()
  await group.clock.advance(answeredWithinMs)
  t.true((await stored)?.isRight())
  for (const { node } of group.liveMembers) {
    t.is(node?.raft.fault, undefined)
  }
  const read = group.leader?.node?.calls.readConfig().run()
  await group.clock.advance(answeredWithinMs)
  t.is((await read)?.unsafeCoerce(), config.source)
  group.stopSubmitting()
})
