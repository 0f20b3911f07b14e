import test from 'ava'
import { ManualClock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import { createUpstream } from '@nettlespur/entry.fakes'
import fc from 'fast-check'
import { TaskTransport, type TaskOutcome, type TaskRun } from '../src/index.js'
import { createRequest, createRouter } from './createRouter.js'

type Script = 'answered' | 'not-sent' | 'refused' | 'lost'

/** Gives each attempt the next outcome of a script, or holds it until the test releases it. */
class ScriptedTransport extends TaskTransport {
  readonly runs: TaskRun[] = []
  readonly #held: (() => void)[] = []
  readonly #script: Script[]
  readonly #holds: boolean

  constructor(script: readonly Script[] = [], holds = false) {
    super()
    this.#script = [...script]
    this.#holds = holds
  }

  override async run(task: TaskRun): Promise<TaskOutcome> {
    this.runs.push(task)
    if (this.#holds) await new Promise<void>((resolve) => this.#held.push(resolve))
    const kind = this.#script.shift() ?? 'answered'
    if (kind !== 'answered') {
      return { kind, error: new NettlespurError('outcome-unknown', `scripted: ${kind}`) }
    }
    return {
      kind,
      answer: {
        status: 200,
        contentType: undefined,
        body: task.body,
        lengthBytes: task.body.length,
      },
    }
  }

  releaseOne(): void {
    this.#held.shift()?.()
  }
}

/** The first has by far the most free slots, so it is picked each time unless it is avoided. */
const upstreams = [100, 8, 8, 8].map((slots, index) =>
  createUpstream({ upstreamId: `u${index + 1}`, address: `127.0.0.1:${index + 1}`, slots }),
)

test('a request that is not repeatable may run at most once, and an error that says "not run" is right', async (t) => {
  const script = fc.array(fc.constantFrom<Script>('answered', 'not-sent', 'refused', 'lost'))
  await fc.assert(
    fc.asyncProperty(script, fc.boolean(), async (outcomes, repeatable) => {
      const clock = new ManualClock()
      const transport = new ScriptedTransport(outcomes)
      const { router } = createRouter({ clock, transport, upstreams })
      const result = await router.run(createRequest(clock, { repeatable })).run()
      const sent = outcomes.slice(0, transport.runs.length)
      const lost = sent.filter((kind) => kind === 'lost').length
      const addresses = new Set(transport.runs.map((run) => run.address))
      t.is(addresses.size, transport.runs.length, 'each attempt goes to another upstream')
      if (!repeatable) t.true(lost <= 1)
      if (!repeatable && lost === 1) t.is(sent.at(-1), 'lost')
      result.ifLeft((error) => {
        t.is(error.answer.ran, lost > 0 ? 'unknown' : 'no')
        if (error.answer.ran === 'no') t.true((error.retryAfterMs ?? 0) > 0)
      })
      result.ifRight((answer) => {
        t.is(answer.attempt, transport.runs.length)
      })
    }),
  )
})

test('requests in flight never exceed the limit of the workspace or the slots of the upstreams', async (t) => {
  const step = fc.constantFrom<'send' | 'end'>('send', 'send', 'end')
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { maxLength: 40 }),
      fc.integer({ min: 1, max: 6 }),
      fc.integer({ min: 1, max: 3 }),
      async (steps, concurrentRequests, slots) => {
        const clock = new ManualClock()
        const transport = new ScriptedTransport([], true)
        const two = upstreams.slice(0, 2).map((upstream) => ({ ...upstream, slots }))
        const limits = { concurrentRequests, queuedRequests: 3 }
        const { router, queue } = createRouter({ clock, transport, upstreams: two, limits })
        let [sent, ended, refused] = [0, 0, 0]
        for (const action of steps) {
          if (action === 'end') transport.releaseOne()
          else {
            sent += 1
            void router
              .run(createRequest(clock))
              .run()
              .then((result) => {
                if (result.isLeft()) refused += 1
                else ended += 1
              })
          }
          await clock.advance(0)
          const inFlight = transport.runs.length - ended
          t.true(inFlight <= Math.min(concurrentRequests, 2 * slots))
          t.true(queue.waiting <= 3)
          t.is(inFlight + queue.waiting + ended + refused, sent, 'none is forgotten')
          const idle = inFlight < Math.min(concurrentRequests, 2 * slots)
          t.false(idle && queue.waiting > 0, 'nobody waits while there is a place and a slot')
        }
      },
    ),
  )
})

test('a full queue, a rate over the contract and a passed deadline are refused at once', async (t) => {
  const clock = new ManualClock()
  const transport = new ScriptedTransport([], true)
  const limits = { concurrentRequests: 1, queuedRequests: 1, requestsPerSecond: 2, requestBurst: 3 }
  const { router, logger } = createRouter({ clock, transport, upstreams, limits })
  const send = (deadlineMs: number) =>
    router.run(createRequest(clock, { deadlineAtMs: clock.monotonicMs() + deadlineMs })).run()
  const first = send(30_000)
  const second = send(250)
  t.like((await send(30_000)).extract(), { kind: 'queue-full', retryAfterMs: 1000 })
  t.like((await send(30_000)).extract(), { kind: 'over-limit', retryAfterMs: 500 })
  await clock.advance(249)
  t.is(logger.named('request.refused').length, 2)
  await clock.advance(1)
  t.like((await second).extract(), { kind: 'deadline-before-start' })
  await clock.advance(500)
  t.like((await send(0)).extract(), { kind: 'deadline-before-start' })
  transport.releaseOne()
  t.true((await first).isRight())
  t.is(transport.runs.length, 1)
})

test('a cancelled request leaves the queue if it waits, and keeps its slot to the end if it runs', async (t) => {
  const clock = new ManualClock()
  const transport = new ScriptedTransport([], true)
  const one = [createUpstream({ slots: 1 })]
  const { router, queue } = createRouter({ clock, transport, upstreams: one })
  const [gone, alsoGone] = [new AbortController(), new AbortController()]
  const running = router.run(createRequest(clock, { callerGone: gone.signal })).run()
  const waiting = router.run(createRequest(clock, { callerGone: alsoGone.signal })).run()
  const next = router.run(createRequest(clock)).run()
  gone.abort()
  alsoGone.abort()
  t.like((await waiting).extract(), { kind: 'cancelled-before-start' })
  t.deepEqual([transport.runs.length, queue.waiting], [1, 1])
  transport.releaseOne()
  await running
  await clock.advance(0)
  t.is(transport.runs.length, 2)
  transport.releaseOne()
  t.true((await next).isRight())
})

test('once the contract lease has ended, waiting and new requests are refused', async (t) => {
  const clock = new ManualClock()
  const transport = new ScriptedTransport([], true)
  const one = [createUpstream({ slots: 1 })]
  const { router, view } = createRouter({ clock, transport, upstreams: one })
  const running = router.run(createRequest(clock, { deadlineAtMs: 9e9 })).run()
  const waiting = router.run(createRequest(clock, { deadlineAtMs: 9e9 })).run()
  await clock.advance(600_000)
  t.false(view.lease.isHeld())
  t.like((await waiting).extract(), { kind: 'contract-lease-expired' })
  t.like((await router.run(createRequest(clock)).run()).extract(), {
    kind: 'contract-lease-expired',
  })
  transport.releaseOne()
  t.true((await running).isRight())
})

test('an upstream that is leaving or gone gets no new requests', async (t) => {
  const clock = new ManualClock()
  const transport = new ScriptedTransport()
  const two = [
    createUpstream({ state: 'leaving' }),
    createUpstream({ upstreamId: 'u2', address: '127.0.0.1:2' }),
  ]
  const { router, view, update } = createRouter({ clock, transport, upstreams: two })
  for (let sent = 0; sent < 20; sent++) await router.run(createRequest(clock)).run()
  t.deepEqual([...new Set(transport.runs.map((run) => run.address))], ['127.0.0.1:2'])
  const gone = two.map((upstream) => ({ ...upstream, state: 'gone' as const }))
  view.apply({ ...update, upstreams: gone }, clock.monotonicMs())
  t.like((await router.run(createRequest(clock)).run()).extract(), { kind: 'no-upstream' })
  t.is(transport.runs.length, 20)
})

test('abandonAll ends waiting and later requests as "draining" and running ones as "outcome-unknown"', async (t) => {
  const clock = new ManualClock()
  class EndlessTransport extends TaskTransport {
    override run(task: TaskRun): Promise<TaskOutcome> {
      return new Promise((resolve) => {
        task.givenUp.addEventListener('abort', () => {
          resolve({ kind: 'lost', error: new NettlespurError('outcome-unknown', 'given up') })
        })
      })
    }
  }
  const one = [createUpstream({ slots: 1 }), createUpstream({ upstreamId: 'u2', slots: 0 })]
  const { router } = createRouter({ clock, transport: new EndlessTransport(), upstreams: one })
  const running = router.run(createRequest(clock, { repeatable: true })).run()
  const waiting = router.run(createRequest(clock)).run()
  await clock.advance(0)
  const tooLate = router.run(createRequest(clock)).run()
  router.abandonAll()
  t.like((await waiting).extract(), { kind: 'draining' })
  t.like((await tooLate).extract(), { kind: 'draining' })
  t.like((await running).extract(), { kind: 'outcome-unknown' })
  t.like((await router.run(createRequest(clock)).run()).extract(), { kind: 'draining' })
})

test('a queue that was shut down refuses new requests', async (t) => {
  const clock = new ManualClock()
  const transport = new ScriptedTransport([], true)
  const one = [createUpstream({ slots: 1 })]
  const { router, queue } = createRouter({ clock, transport, upstreams: one })
  const running = router.run(createRequest(clock)).run()
  await clock.advance(0)
  queue.shutDown(new NettlespurError('draining', 'stopping'))
  t.like((await queue.enter(createRequest(clock)).run()).extract(), { kind: 'draining' })
  transport.releaseOne()
  t.true((await running).isRight())
})
