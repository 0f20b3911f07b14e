import { setMaxListeners } from 'node:events'
import test from 'ava'
import type { NettlespurError } from '@nettlespur/core.errors'
import type { ShortAnswer } from '@nettlespur/entry.requests'
import fc from 'fast-check'
import type { Either } from 'purify-ts'
import type { ClaimingRouter } from '../src/index.js'
import { ClaimTrial, type ControlFault } from './claimTrial.js'
import type { Fault } from './memoryUpstreams.js'

setMaxListeners(0)

type Step =
  | { do: 'send'; entry: 0 | 1; key: string; body: string }
  | { do: 'kill'; entry: 0 | 1; restartsUnnoticed: boolean }
  | { do: 'advance' | 'down'; ms: number }
  | { do: 'suspect'; entry: 0 | 1 }
  | { do: 'release' }
  | { do: 'fault'; faults: ControlFault[] }

const entries = fc.constantFrom<0 | 1>(0, 1)
const steps = fc.array(
  fc.oneof(
    {
      weight: 4,
      arbitrary: fc.record({
        do: fc.constant('send' as const),
        entry: entries,
        key: fc.constantFrom('a', 'a', 'b'),
        body: fc.constantFrom('x', 'x', 'x', 'y'),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        do: fc.constant('kill' as const),
        entry: entries,
        restartsUnnoticed: fc.boolean(),
      }),
    },
    {
      weight: 3,
      arbitrary: fc.record({
        do: fc.constant('advance' as const),
        ms: fc.constantFrom(0, 1, 200, 1000, 6000),
      }),
    },
    { weight: 2, arbitrary: fc.record({ do: fc.constant('release' as const) }) },
    { weight: 1, arbitrary: fc.record({ do: fc.constant('suspect' as const), entry: entries }) },
    {
      weight: 1,
      arbitrary: fc.record({ do: fc.constant('down' as const), ms: fc.constantFrom(500, 8000) }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        do: fc.constant('fault' as const),
        faults: fc.array(fc.constantFrom<ControlFault>('lose', 'fail'), { maxLength: 4 }),
      }),
    },
  ),
  { minLength: 1, maxLength: 14 },
)
const faults = fc.array(
  fc.constantFrom<Fault>(
    'answer',
    'lose',
    'refuse',
    'late-refuse',
    'not-sent',
    'late',
    'late-lose',
    'slow',
  ),
  { maxLength: 10 },
)

const delays = fc.array(fc.constantFrom(0, 100, 500, 2000), { maxLength: 8 })

interface Reply {
  readonly key: string
  readonly body: string
  readonly result: Either<NettlespurError, ShortAnswer>
}

interface Scenario {
  readonly played: readonly Step[]
  readonly script: readonly Fault[]
  readonly delaysMs: readonly number[]
}

/** Runs the steps, then ends all faults, lets pending work finish and sends one more request for each key. */
async function runScenario({ played, script, delaysMs }: Scenario, onReply: OnReply) {
  const trial = new ClaimTrial()
  trial.upstreams.script.push(...script)
  trial.upstreams.statusDelaysMs.push(...delaysMs)
  let processes = 0
  const open = (entryId: string): { process: string; router: ClaimingRouter } => {
    const process = `${entryId} process ${++processes}`
    return { process, router: trial.createEntry(entryId, process) }
  }
  const ids = ['entry-1', 'entry-2'] as const
  const running = [open(ids[0]), open(ids[1])]
  const send = (router: ClaimingRouter | undefined, key: string, body: string): void => {
    void router
      ?.run(trial.createRequest(key, body))
      .run()
      .then((result) => {
        onReply(trial, { key, body, result })
      })
  }
  for (const step of played) {
    if (step.do === 'send') send(running[step.entry]?.router, step.key, step.body)
    if (step.do === 'advance') await trial.clock.advance(step.ms)
    if (step.do === 'release') trial.upstreams.release()
    if (step.do === 'down') trial.controlDownUntilMs = trial.clock.monotonicMs() + step.ms
    if (step.do === 'suspect') trial.dead.add(ids[step.entry])
    if (step.do === 'fault') trial.controlFaults.push(...step.faults)
    if (step.do === 'kill') {
      trial.dead.add(running[step.entry]?.process ?? '')
      if (!step.restartsUnnoticed) {
        trial.dead.add(ids[step.entry])
        await trial.clock.advance(300)
        trial.dead.delete(ids[step.entry])
      }
      running[step.entry] = open(ids[step.entry])
    }
  }
  trial.controlFaults.length = 0
  trial.controlDownUntilMs = 0
  trial.upstreams.script.length = 0
  await trial.clock.advance(100)
  trial.upstreams.release()
  await trial.clock.advance(30_000)
  for (const key of ['a', 'b']) send(running[0]?.router, key, 'x')
  await trial.clock.advance(30_000)
  trial.upstreams.release()
  await trial.clock.advance(1000)
  trial.end()
  return trial
}

type OnReply = (trial: ClaimTrial, reply: Reply) => void

test('with resends, lost or late answers and killed entries, a key runs at most once, has one answer, and "not run" is reported only if no attempt ran or runs later', async (t) => {
  await fc.assert(
    fc.asyncProperty(steps, faults, delays, async (played, script, delaysMs) => {
      const answers = new Map<string, Set<string>>()
      const denied: { key: string; taskIds: string[] }[] = []
      let replies = 0
      const trial = await runScenario(
        { played, script, delaysMs },
        ({ upstreams }, { key, result }) => {
          replies += 1
          result.ifRight((answer) => {
            answers.set(key, (answers.get(key) ?? new Set()).add(readText(answer.body)))
          })
          result.ifLeft((error) => {
            if (error.answer.ran !== 'no' || error.kind === 'idempotency-conflict') return
            const ran = upstreams.started.filter((task) => task.key === key)
            t.is(ran.length, 0, `"not run" was reported for a key that ran: ${error.message}`)
            const taskIds = upstreams.sent.filter((task) => task.key === key)
            denied.push({ key, taskIds: taskIds.map(({ taskId }) => taskId) })
          })
        },
      )
      const { started } = trial.upstreams
      for (const key of ['a', 'b']) {
        const runs = started.filter((task) => task.key === key)
        t.true(runs.length <= 1, `key ${key} ran ${runs.length} times`)
        t.true((answers.get(key)?.size ?? 0) <= 1, 'every caller gets the same answer')
      }
      for (const { taskIds } of denied) {
        t.false(
          started.some(({ taskId }) => taskIds.includes(taskId)),
          'a task ran after "not run" was reported',
        )
      }
      t.true(replies >= 2, 'both last requests were answered')
    }),
    { numRuns: 1000 },
  )
})

test('a request without a key is refused, and so is a key that was used with another body', async (t) => {
  const trial = new ClaimTrial()
  const router = trial.createEntry('entry-1', 'first')
  const none = await router.run({ ...trial.createRequest('a', 'x'), key: undefined }).run()
  t.like(none.extract(), { kind: 'invalid-field' })
  const first = await router.run(trial.createRequest('a', 'x')).run()
  const again = await trial.createEntry('entry-2', 'other').run(trial.createRequest('a', 'x')).run()
  const firstAnswer = first.unsafeCoerce()
  t.deepEqual(again.unsafeCoerce(), firstAnswer)
  const conflict = await router.run(trial.createRequest('a', 'y')).run()
  t.like(conflict.extract(), { kind: 'idempotency-conflict' })
  t.is(trial.upstreams.started.length, 1)
  trial.end()
})

test('a resend collects an answer that is too large for its claim from its upstream', async (t) => {
  const trial = new ClaimTrial()
  const body = 'span '.repeat(20_000)
  const first = await trial
    .createEntry('entry-1', 'first')
    .run(trial.createRequest('a', body))
    .run()
  const again = await trial
    .createEntry('entry-2', 'other')
    .run(trial.createRequest('a', body))
    .run()
  t.deepEqual(again.unsafeCoerce().body, first.unsafeCoerce().body)
  t.is(trial.upstreams.started.length, 1)
  trial.end()
})

test('while control is unreachable, a resend of a request that ran gets outcome-unknown', async (t) => {
  const trial = new ClaimTrial()
  await trial.createEntry('entry-1', 'first').run(trial.createRequest('a', 'x')).run()
  trial.controlDownUntilMs = 60_000
  const again = trial.createEntry('entry-2', 'other').run(trial.createRequest('a', 'x')).run()
  await trial.clock.advance(6000)
  t.like((await again).extract(), { kind: 'outcome-unknown' })
  t.is(trial.upstreams.started.length, 1)
  trial.end()
})

test('a large answer that was lost is collected from its upstream by the entry, not by control', async (t) => {
  const trial = new ClaimTrial()
  trial.upstreams.script.push('lose')
  const body = 'span '.repeat(20_000)
  const lost = trial.createEntry('entry-1', 'first').run(trial.createRequest('a', body)).run()
  await trial.clock.advance(3000)
  const answer = readText((await lost).unsafeCoerce().body)
  t.true(answer.endsWith(body))
  const outcome = trial.control.claims.get({ workspace: 'thapa', key: 'a' })?.outcome
  t.like(outcome, { kind: 'answered', bodyBytes: answer.length, bodyBase64: undefined })
  t.is(trial.upstreams.collectedCount, 1, 'only the entry collected it')
  t.is(trial.upstreams.started.length, 1)
  trial.end()
})

/** The fake upstreams answer with whole buffers only. */
function readText(body: unknown): string {
  if (!Buffer.isBuffer(body)) throw new Error('not a whole answer')
  return body.toString()
}
