/**
 * Guards against a call that is reported as not run although one of its attempts was executed, or may yet be: a leader is
 * killed after it has stored a job, and the next one refuses the second attempt by a newer configuration.
 */
import { createJob } from '@nettlespur/batch.samples'
import { ManualClock } from '@nettlespur/core.clock'
import { NettlespurError, type ErrorKind } from '@nettlespur/core.errors'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import test from 'ava'
import fc from 'fast-check'
import assert from 'node:assert/strict'
import { createLocalApi } from '../__utils__/index.js'
import { silentLogger } from '../__utils__/silentLogger.js'
import { CallLog } from '../src/callLog.js'
import type { LeaderFinder } from '../src/leaderFinder.js'
import { OperationRunner } from '../src/operationRunner.js'

const address = '127.0.0.1:1'
const patienceMs = 1000
const deadlineMs = 3000

/** Errors with which a leader refuses a job that it has not stored. */
const refusals = [
  'unauthorized',
  'unknown-route',
  'queue-full',
  'over-limit',
  'no-config',
  'idempotency-conflict',
] as const
/** Errors of attempts that certainly were not executed. */
const unexecuted = ['not-leader', 'unreachable', 'no-quorum', 'draining', 'disk-full'] as const
/** Errors of attempts that may have been executed. */
const inDoubt = ['outcome-unknown', 'storage-failed', 'storage-damaged', 'internal'] as const

interface Attempt {
  readonly kind: ErrorKind | 'accepted'
  /** Whether the leader stores the job: before the attempt fails, or after its caller has given it up. */
  readonly isExecuted: boolean
}

const attempts = fc.oneof(
  fc.constantFrom(...refusals, ...unexecuted).map((kind): Attempt => ({ kind, isExecuted: false })),
  fc
    .record({ kind: fc.constantFrom(...inDoubt), isExecuted: fc.boolean() })
    .map((attempt): Attempt => attempt),
  fc.constant<Attempt>({ kind: 'accepted', isExecuted: true }),
)

/** Always names the stand-in as the leader. */
const finder = {
  leaderAddress: address,
  quietMs: 0,
  outage: { isLong: false },
  describeBelief: () => ({}),
  recordLeaderAnswer: () => undefined,
  rejectLeader: () => undefined,
} as unknown as LeaderFinder

/** Submits a job to a leader that answers the attempts as scripted, and accepts any further one. */
async function submit(script: readonly Attempt[]) {
  const clock = new ManualClock()
  const options = { clock, logger: silentLogger, metrics: new MetricsRegistry() }
  let made = 0
  let isStored = false
  const api = createLocalApi(() => {
    const { kind, isExecuted } = script[made] ?? { kind: 'accepted', isExecuted: true }
    made += 1
    isStored ||= isExecuted
    return kind === 'accepted'
      ? Promise.resolve(null)
      : Promise.reject(new NettlespurError(kind, 'scripted'))
  })
  const log = new CallLog(options)
  const runner = new OperationRunner({
    ...options,
    finder,
    log,
    patienceMs,
    local: { address, api },
    peerKey: 'key',
    seeds: [],
    callTimeoutMs: patienceMs,
  })
  const call = { host: 'h', path: '/q/j', request: createJob('j', {}) }
  const operation = {
    name: 'submit-job',
    subject: 'j',
    kind: 'change' as const,
    remote: () => Promise.reject(new Error('the leader is local')),
    local: () => api.submitJob(call),
  }
  const running = runner.run(operation, { deadlineMs }).run()
  await clock.advance(deadlineMs)
  const outcome = await running
  log.close()
  return { outcome, isStored, made }
}

test('whatever attempts, refusals and kills come in which order, a job that is reported as not run is not stored', async (t) => {
  const property = fc.asyncProperty(fc.array(attempts, { maxLength: 6 }), async (script) => {
    const { outcome, isStored } = await submit(script)
    outcome.ifLeft(({ answer }) => {
      assert.ok(answer.ran !== 'no' || !isStored, 'reported as not run, and stored')
    })
    if (outcome.isRight()) assert.ok(isStored)
  })
  await fc.assert(property, { numRuns: 500 })
  t.pass()
})

for (const kind of refusals) {
  test(`${kind} after an attempt in doubt is reported as an unknown outcome, at once`, async (t) => {
    const { outcome, made } = await submit([
      { kind: 'outcome-unknown', isExecuted: true },
      { kind, isExecuted: false },
    ])
    const error = outcome.swap().unsafeCoerce()
    t.is(error.kind, 'outcome-unknown')
    t.is(error.answer.ran, 'unknown')
    t.is(made, 2)
  })

  test(`${kind} as the first answer stays definite`, async (t) => {
    const { outcome, made } = await submit([{ kind, isExecuted: false }])
    t.is(outcome.swap().unsafeCoerce().kind, kind)
    t.is(made, 1)
  })
}

test('a member with damaged storage does not end the call: another one is asked', async (t) => {
  const { outcome } = await submit([{ kind: 'storage-damaged', isExecuted: false }])
  t.true(outcome.isRight())
})
