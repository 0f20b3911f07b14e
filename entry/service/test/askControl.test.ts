/**
 * Guards against a change that is reported as refused although one of its attempts may have been applied: control stores
 * it and its leader dies, and the next leader refuses the second attempt.
 */
import { ManualClock } from '@nettlespur/core.clock'
import { NettlespurError, type ErrorKind } from '@nettlespur/core.errors'
import test from 'ava'
import { EitherAsync, Left } from 'purify-ts'
import { askControl, type CallEffect } from '../src/askControl.js'

const longestCallMs = 10_000

/** Calls control, which answers the attempts with these errors; returns the error reported and the number of attempts. */
async function ask(effect: CallEffect, kinds: readonly ErrorKind[]) {
  const clock = new ManualClock()
  let made = 0
  const failing = askControl<null>({ clock, effect, random: () => 0 }, () => {
    const kind = kinds[Math.min(made, kinds.length - 1)] ?? 'internal'
    made += 1
    return EitherAsync.liftEither(Left(new NettlespurError(kind, 'scripted')))
  }).catch((thrown: unknown) => thrown)
  await clock.advance(longestCallMs)
  return { error: (await failing) as NettlespurError, made }
}

const refusals: readonly ErrorKind[] = [
  'stale-revision',
  'unauthorized',
  'over-limit',
  'unknown-job',
]

for (const refusal of refusals) {
  test(`a change that is refused with ${refusal} after an attempt in doubt has an unknown outcome`, async (t) => {
    const { error, made } = await ask('idempotent', ['outcome-unknown', refusal])
    t.is(error.kind, 'outcome-unknown')
    t.is(made, 2)
  })

  test(`a read that is refused with ${refusal} after an attempt without an answer gets the refusal`, async (t) => {
    t.is((await ask('read', ['outcome-unknown', refusal])).error.kind, refusal)
  })
}

test('a change that found no leader is reported as not run, with a delay after which to retry', async (t) => {
  const { error } = await ask('idempotent', ['not-leader'])
  t.is(error.kind, 'not-leader')
  t.is(error.answer.ran, 'no')
  t.true((error.retryAfterMs ?? 0) > 0)
})

test('a call that must not be sent again ends with the first attempt in doubt', async (t) => {
  const { error, made } = await ask('once', ['not-leader', 'outcome-unknown'])
  t.is(error.kind, 'outcome-unknown')
  t.is(made, 2)
})
