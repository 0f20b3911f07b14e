/** Truncated, foreign or newer commands and snapshots are rejected as a whole, with an error that names the record. */
import { createConfig, createJob, createUpstream } from '@nettlespur/batch.samples'
import { NettlespurError } from '@nettlespur/core.errors'
import test from 'ava'
import fc from 'fast-check'
import assert from 'node:assert/strict'
import { BatchMachine, encodeCommand, type Command } from '../src/index.js'

const run = { jobId: 'j', step: 0, index: 0, attempt: 1, upstreamId: 'u1' }
const request = createJob('j', {}, { dependsOn: [0] })
const commands: readonly Command[] = [
  { type: 'apply-config', config: createConfig(1) },
  { type: 'note-upstream', description: createUpstream('u1') },
  { type: 'submit-job', request, workspace: 'w1', queueName: 'queue1' },
  { type: 'place-tasks', placements: [run] },
  { type: 'end-runs', ends: [{ ...run, outcome: 'stopped', checkpoint: 'c' }] },
  { type: 'drain-upstream', upstreamId: 'u1' },
  { type: 'remove-upstream', upstreamId: 'u1' },
  { type: 'cancel-job', jobId: 'j' },
  { type: 'forget-jobs', jobIds: ['other'] },
  { type: 'forget-upstreams', upstreamIds: ['other'] },
  { type: 'note-speeds', speeds: [{ upstreamId: 'u1', mean: 0.6, logSpread: 0.2 }] },
]

function createMachine(): BatchMachine {
  const machine = new BatchMachine()
  commands.slice(0, 4).forEach((command, at) => machine.apply(at + 1, encodeCommand(command)))
  return machine
}

/** Lists the copies of `value` that have one unknown field added, one copy for each nested object. */
function listWithUnknownField(value: unknown): unknown[] {
  if (Array.isArray(value)) {
    const items: unknown[] = value
    return items.flatMap((item, at) =>
      listWithUnknownField(item).map((newer) => items.with(at, newer)),
    )
  }
  if (typeof value !== 'object' || value === null) return []
  const inner = Object.entries(value).flatMap(([key, field]) =>
    listWithUnknownField(field).map((newer) => ({ ...value, [key]: newer })),
  )
  return [{ ...value, fieldOfNewerVersion: 1 }, ...inner]
}

/** Asserts that `take` throws an error naming the record, and that the state is unchanged. */
function assertRefused(machine: BatchMachine, what: RegExp, take: () => void): void {
  const before = machine.takeSnapshot().toString()
  assert.throws(take, (thrown) => {
    assert.ok(thrown instanceof NettlespurError)
    assert.equal(thrown.kind, 'storage-damaged')
    assert.match(thrown.message, what)
    return true
  })
  assert.equal(machine.takeSnapshot().toString(), before)
}

test('a command with an unknown field is rejected with its index in the error, and changes nothing', (t) => {
  for (const command of commands) {
    for (const newer of listWithUnknownField(command)) {
      const machine = createMachine()
      const bytes = Buffer.from(JSON.stringify(newer))
      assertRefused(machine, /command at 77/, () => machine.apply(77, bytes))
    }
  }
  t.pass()
})

test('a snapshot with an unknown field is rejected with its index in the error, and changes nothing', (t) => {
  const snapshot = JSON.parse(createMachine().takeSnapshot().toString()) as unknown
  for (const newer of listWithUnknownField(snapshot)) {
    const machine = createMachine()
    assertRefused(machine, /snapshot at 77/, () => {
      machine.restore(77, Buffer.from(JSON.stringify(newer)))
    })
  }
  t.pass()
})

test('truncated and foreign bytes are rejected as commands and as snapshots, with the record named in the error', (t) => {
  const torn = commands.map((command) => encodeCommand(command).subarray(0, -1))
  const bytes = fc.oneof(
    fc.constantFrom(...torn),
    fc.uint8Array().map((array) => Buffer.from(array)),
    fc.jsonValue().map((value) => Buffer.from(JSON.stringify(value))),
  )
  fc.assert(
    fc.property(bytes, (foreign) => {
      const machine = createMachine()
      assertRefused(machine, /command at 77/, () => machine.apply(77, foreign))
      assertRefused(machine, /snapshot at 77/, () => {
        machine.restore(77, foreign)
      })
    }),
    { numRuns: 200 },
  )
  t.pass()
})

test('commands and snapshots that this version writes can be read back', (t) => {
  const machine = createMachine()
  commands.slice(4).forEach((command, at) => machine.apply(at + 5, encodeCommand(command)))
  const snapshot = machine.takeSnapshot()
  const restored = new BatchMachine()
  restored.restore(9, snapshot)
  t.deepEqual(JSON.parse(restored.takeSnapshot().toString()), JSON.parse(snapshot.toString()))
})
