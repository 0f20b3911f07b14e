import type { Claim, ClaimChange, ClaimOutcome } from '@nettlespur/api.schemas'
import { createContract } from '@nettlespur/control.fakes'
import test from 'ava'
import fc from 'fast-check'
import { claimsMax, ControlState, stateSnapshotSchema, type Command } from '../src/index.js'

const startMs = Date.parse('2026-01-01T00:00:00.000Z')
const lifetimeMs = 600_000
const workspace = 'demo'
const bodySha256 = 'a'.repeat(64)

function createState(): ControlState {
  const state = ControlState.create()
  const contract = createContract(workspace)
  const change = { changeId: 'c', expectedRevision: 0, contract }
  state.apply(1, { type: 'contract.apply', at: toTime(0), change })
  return state
}

function toTime(afterMs: number): string {
  return new Date(startMs + afterMs).toISOString()
}

function createTarget(attempt: number) {
  return { upstreamId: 'u1', address: '127.0.0.1:1', taskId: 't', attempt }
}

function createOpenChange(key: string): ClaimChange {
  const target = createTarget(1)
  return {
    type: 'open',
    workspace,
    key,
    bodySha256,
    entryId: 'e1',
    target,
    remainingMs: 1000,
  }
}

function apply(state: ControlState, change: ClaimChange, afterMs = 0) {
  return state.apply(state.appliedIndex + 1, {
    type: 'claim.change',
    at: toTime(afterMs),
    change,
    lifetimeMs,
  })
}

function restoreFrom(state: ControlState): ControlState {
  const text = JSON.stringify(state.snapshot())
  return ControlState.restore(stateSnapshotSchema.parse(JSON.parse(text)))
}

const keys = fc.constantFrom('a', 'b', 'c')
const outcomes = fc.constantFrom<ClaimOutcome>(
  { kind: 'answered', status: 200, bodyBytes: 4, bodyBase64: 'c3Bhbg==' },
  { kind: 'answered', status: 200, bodyBytes: 20_000, bodyBase64: 'A'.repeat(26_668) },
  { kind: 'not-run', reason: 'r' },
  { kind: 'failed', reason: 'r' },
  { kind: 'unknown', reason: 'r' },
)
const steps = fc.array(
  fc.record({
    do: fc.constantFrom('open', 'open', 'move', 'settle', 'settle', 'take'),
    key: keys,
    isOvertaken: fc.boolean(),
    outcome: outcomes,
    waitMs: fc.constantFrom(0, 1000, 400_000),
  }),
  { minLength: 5, maxLength: 40 },
)
type Step = (typeof steps extends fc.Arbitrary<infer T> ? T : never)[number]

/** Uses the claim's current fence, or an earlier one if the step is overtaken. */
function toCommand(state: ControlState, step: Step, at: string): Command {
  const { key } = step
  const known = state.getClaim({ workspace, key })?.fence ?? 1
  const fence = step.isOvertaken ? Math.max(1, known - 1) : known
  if (step.do === 'take') return { type: 'claim.take', at, workspace, key, fence }
  const changes: Record<string, ClaimChange> = {
    open: createOpenChange(key),
    move: { type: 'move', workspace, key, fence, entryId: 'e2', target: createTarget(fence + 1) },
    settle: { type: 'settle', workspace, key, fence, outcome: step.outcome },
  }
  const change = changes[step.do] ?? createOpenChange(key)
  return { type: 'claim.change', at, change, lifetimeMs }
}

function isFinal(claim: Claim | undefined): boolean {
  return claim?.outcome?.kind === 'answered' || claim?.outcome?.kind === 'failed'
}

test('a final outcome is kept for its lifetime, fences never decrease, and a restored state behaves identically', (t) => {
  fc.assert(
    fc.property(steps, fc.nat(40), (played, restoredAt) => {
      const state = createState()
      let replica = createState()
      let afterMs = 0
      for (const [index, step] of played.entries()) {
        if (index === restoredAt) replica = restoreFrom(state)
        afterMs += step.waitMs
        const before = state.getClaim({ workspace, key: step.key })
        const command = toCommand(state, step, toTime(afterMs))
        const result = state.apply(state.appliedIndex + 1, command)
        const replicaResult = replica.apply(replica.appliedIndex + 1, command)
        t.is(JSON.stringify(replicaResult), JSON.stringify(result))
        const after = state.getClaim({ workspace, key: step.key })
        const ageMs = startMs + afterMs - Date.parse(before?.changedAt ?? toTime(0))
        if (before !== undefined && isFinal(before) && ageMs <= lifetimeMs) t.is(after, before)
        if (before !== undefined && after !== undefined) t.true(after.fence >= before.fence)
      }
      t.is(JSON.stringify(replica.snapshot()), JSON.stringify(state.snapshot()))
    }),
  )
})

test('a full workspace refuses new claims instead of evicting old ones, and only claims with an outcome expire', (t) => {
  const state = createState()
  for (let index = 0; index < claimsMax; index++) {
    const opened = apply(state, createOpenChange(`k${index}`))
    if (index === 0 || opened.type !== 'claim') continue
    const { fence, key } = opened.claim
    const outcome = { kind: 'failed' as const, reason: 'r' }
    apply(state, { type: 'settle', workspace, key, fence, outcome })
  }
  t.like(apply(state, createOpenChange('more'), lifetimeMs), {
    type: 'refused',
    error: { kind: 'over-limit' },
  })
  t.is(apply(state, createOpenChange('k7'), lifetimeMs).type, 'claim', 'a known key is still found')
  t.is(apply(state, createOpenChange('more'), lifetimeMs + 1).type, 'claim')
  t.is(state.getClaim({ workspace, key: 'k7' }), undefined)
  t.is(state.getClaim({ workspace, key: 'k0' })?.outcome, undefined)
  t.not(state.getClaim({ workspace, key: 'k0' }), undefined, 'a claim without an outcome is kept')
})

test('the bodies of the oldest answers are dropped once a workspace exceeds its byte limit', (t) => {
  const state = createState()
  const bodyBytes = 16_384
  const bodyBase64 = Buffer.alloc(bodyBytes).toString('base64')
  for (let index = 0; index < 257; index++) {
    const opened = apply(state, createOpenChange(`k${index}`))
    if (opened.type !== 'claim') continue
    const { fence, key } = opened.claim
    const outcome = { kind: 'answered' as const, status: 200, bodyBytes, bodyBase64 }
    apply(state, { type: 'settle', workspace, key, fence, outcome })
  }
  t.like(state.getClaim({ workspace, key: 'k0' })?.outcome, { bodyBytes, bodyBase64: undefined })
  t.like(state.getClaim({ workspace, key: 'k1' })?.outcome, { bodyBytes, bodyBase64 })
})

// Guards against a command that is valid and cannot be applied: every member stopped at it, and again after each restart.
for (const remainingMs of [Number.MAX_SAFE_INTEGER, 8_000_000_000_000_000, 253_402_300_800_000]) {
  test(`a claim that is open for ${remainingMs} ms is applied, and its state can be restored`, (t) => {
    const state = createState()
    const result = apply(state, { ...createOpenChange('a'), remainingMs } as ClaimChange)
    t.is(result.type, 'claim')
    t.deepEqual(restoreFrom(state).snapshot(), state.snapshot())
  })
}
