/** Messages and entries malformed or of a newer version are refused whole, with an error that names the cause. */
import { NettlespurError } from '@nettlespur/core.errors'
import test from 'ava'
import fc from 'fast-check'
import assert from 'node:assert/strict'
import { TestCluster } from '../__utils__/index.js'
import { decodePayload } from '../src/entryPayload.js'
import {
  appendRequestSchema,
  installRequestSchema,
  memberSchema,
  membershipSchema,
  sentEntrySchema,
  timeoutNowRequestSchema,
  voteRequestSchema,
} from '../src/index.js'

const command = Buffer.from([1, 7])
const member = { memberId: 'c1', peerAddress: '127.0.0.1:1', dataCentre: 'a' }
const membership = { members: [member], voters: ['c1'] }
const append = { term: 2, leaderId: 'c2', prevIndex: 0, prevTerm: 0, commitIndex: 0, entries: [] }
const data = { offset: 0, totalBytes: 1, data: command }
const install = { term: 2, leaderId: 'c2', snapshotIndex: 1, snapshotTerm: 1, membership, ...data }
const flags = { preVote: false, transfer: false }
const vote = { term: 2, candidateId: 'c2', diskId: 'd', lastIndex: 1, lastTerm: 1, ...flags }

test('a message with an unknown field is refused with an error that names the field', (t) => {
  const cases = [
    [voteRequestSchema, vote],
    [appendRequestSchema, append],
    [sentEntrySchema, { term: 1, payload: command }],
    [installRequestSchema, install],
    [timeoutNowRequestSchema, { term: 2, leaderId: 'c2' }],
    [memberSchema, member],
    [membershipSchema, membership],
  ] as const
  for (const [schema, message] of cases) {
    t.true(schema.safeParse(message).success)
    const refused = schema.safeParse({ ...message, fieldOfNewerVersion: 1 })
    t.regex(refused.error?.message ?? '', /fieldOfNewerVersion/)
  }
})

test('an entry of arbitrary bytes is decoded, or refused with a NettlespurError', (t) => {
  const kind = fc.oneof(fc.constantFrom(0, 1, 2, 3), fc.nat(255))
  const rest = fc.oneof(
    fc.uint8Array({ maxLength: 50 }).map((bytes) => Buffer.from(bytes)),
    fc.jsonValue().map((value) => Buffer.from(JSON.stringify(value))),
  )
  fc.assert(
    fc.property(kind, rest, (first, bytes) => {
      try {
        decodePayload(Buffer.concat([Buffer.from([first]), bytes]))
      } catch (thrown) {
        assert.ok(thrown instanceof NettlespurError)
      }
    }),
    { numRuns: 500 },
  )
  t.throws(() => decodePayload(Buffer.alloc(0)), { instanceOf: NettlespurError })
})

test('an append request with one unreadable entry is refused, and none of its entries is stored', async (t) => {
  const cluster = new TestCluster({ seed: 1, voters: 3 })
  t.teardown(() => cluster.close())
  await cluster.startNode('c1')
  const raft = cluster.running.get('c1')?.raft
  if (raft === undefined) return t.fail()
  const newer = Buffer.from(JSON.stringify({ ...membership, fieldOfNewerVersion: 1 }))
  const unreadablePayloads = [
    Buffer.from([9]),
    Buffer.from([2, 123]),
    Buffer.concat([Buffer.from([2]), newer]),
  ]
  for (const payload of unreadablePayloads) {
    const entries = [command, payload].map((one) => ({ term: 1, payload: one }))
    const answered = raft.handleAppend({ ...append, term: 1, entries })
    const refused = t.throwsAsync(answered, { instanceOf: NettlespurError, message: /entry 2/ })
    await cluster.clock.advance(600)
    await refused
    t.is(raft.describe().lastIndex, 0)
  }
})
