import test from 'ava'
import { ManualClock } from '@nettlespur/core.clock'
import { createContract, createUpstream } from '@nettlespur/entry.fakes'
import fc from 'fast-check'
import { TaskTransport, type TaskOutcome, type TaskRun } from '../src/index.js'
import { createRequest, createRouter } from './createRouter.js'

/** Answers each task after its workspace's service time. */
class TimedTransport extends TaskTransport {
  readonly startedMs: { workspace: string; atMs: number }[] = []
  readonly #clock: ManualClock
  readonly #serviceMs: (workspace: string) => number

  constructor(clock: ManualClock, serviceMs: (workspace: string) => number) {
    super()
    this.#clock = clock
    this.#serviceMs = serviceMs
  }

  override async run(task: TaskRun): Promise<TaskOutcome> {
    this.startedMs.push({ workspace: task.workspace, atMs: this.#clock.monotonicMs() })
    await this.#clock.sleep(this.#serviceMs(task.workspace))
    return {
      kind: 'answered',
      answer: {
        status: 200,
        contentType: undefined,
        body: task.body,
        lengthBytes: task.body.length,
      },
    }
  }

  countOf(workspace: string): number {
    return this.startedMs.filter((start) => start.workspace === workspace).length
  }
}

function start(
  slots: number,
  weights: Record<string, number>,
  serviceMs: (workspace: string) => number = () => 100,
) {
  const clock = new ManualClock()
  const transport = new TimedTransport(clock, serviceMs)
  const limits = {
    ...createContract().limits,
    requestsPerSecond: 1e6,
    requestBurst: 1e6,
    queuedRequests: 1e6,
  }
  const others = Object.entries(weights).map(([workspace, weight]) =>
    createContract({ workspace, weight, limits }),
  )
  const created = createRouter({ clock, transport, upstreams: [createUpstream({ slots })], others })
  const send = (workspace: string) =>
    created.router.run(createRequest(clock, { workspace, deadlineAtMs: 1e9 })).run()
  return { ...created, clock, transport, send }
}

test('a small workspace waits at most for one running request, however many a flooding one queues', async (t) => {
  const weight = fc.constantFrom(0.5, 1, 4)
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 8 }),
      weight,
      fc.array(fc.integer({ min: 1, max: 300 }), { minLength: 1, maxLength: 8 }),
      fc.integer({ min: 30, max: 120 }),
      async (slots, smallWeight, gapsMs, flood) => {
        const { clock, transport, send } = start(slots, { small: smallWeight, large: 1 })
        for (let sent = 0; sent < flood; sent++) void send('large')
        // The bound holds only while `small` asks for no more than its share of one slot.
        const restMs = (100 * (1 + smallWeight)) / smallWeight
        for (const gapMs of gapsMs) {
          await clock.advance(gapMs + restMs)
          const sentMs = clock.monotonicMs()
          const before = transport.countOf('small')
          const answer = send('small')
          await clock.advance(201)
          const startedMs = transport.startedMs.filter(({ workspace }) => workspace === 'small')
          t.is(startedMs.length, before + 1)
          t.true((startedMs.at(-1)?.atMs ?? Infinity) - sentMs <= (slots === 1 ? 200 : 100))
          t.true((await answer).isRight())
        }
      },
    ),
    { numRuns: 60 },
  )
})

test('two flooding workspaces get slot time by their weights, whatever their requests take', async (t) => {
  const weight = fc.integer({ min: 1, max: 4 })
  const service = fc.constantFrom(20, 50, 200)
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 6 }),
      fc.tuple(weight, weight),
      fc.tuple(service, service),
      async (slots, [firstWeight, secondWeight], [firstMs, secondMs]) => {
        const serviceMs = (workspace: string) => (workspace === 'first' ? firstMs : secondMs)
        const weights = { first: firstWeight, second: secondWeight }
        const { clock, transport, send } = start(slots, weights, serviceMs)
        for (let sent = 0; sent < 3000; sent++) {
          void send('first')
          void send('second')
        }
        await clock.advance(8000)
        const usedMs = transport.countOf('first') * firstMs + transport.countOf('second') * secondMs
        const share = (transport.countOf('first') * firstMs) / usedMs
        const due = firstWeight / (firstWeight + secondWeight)
        t.true(Math.abs(share - due) < 0.06, `${share} instead of ${due}`)
      },
    ),
    { numRuns: 12 },
  )
})

test('a refused caller is told when the queue will have drained by half', async (t) => {
  const clock = new ManualClock()
  const transport = new TimedTransport(clock, () => 100)
  const limits = { queuedRequests: 20, concurrentRequests: 2 }
  const { router } = createRouter({ clock, transport, upstreams: [createUpstream()], limits })
  const send = () => router.run(createRequest(clock)).run()
  for (let sent = 0; sent < 22; sent++) void send()
  await clock.advance(550)
  for (let sent = 0; sent < 10; sent++) void send()
  const refusal = (await send()).extract()
  t.like(refusal, { kind: 'queue-full' })
  const retryAfterMs = (refusal as { retryAfterMs: number }).retryAfterMs
  t.true(retryAfterMs > 300 && retryAfterMs < 700, `${retryAfterMs}`)
})

test('a request that cannot be served before its deadline is refused at once', async (t) => {
  const { clock, send, router, transport } = start(1, { large: 1 })
  for (let sent = 0; sent < 100; sent++) void send('large')
  await clock.advance(2000)
  const late = { workspace: 'large', deadlineAtMs: clock.monotonicMs() + 3000 }
  const before = transport.startedMs.length
  const refusal = (await router.run(createRequest(clock, late)).run()).extract()
  t.like(refusal, { kind: 'deadline-before-start', answer: { ran: 'no' } })
  t.true((refusal as { retryAfterMs: number }).retryAfterMs >= 3000)
  t.is(transport.startedMs.length, before)
})

test('a request that waited until it can no longer end in time gets no slot', async (t) => {
  const { clock, send, router, transport } = start(1, { large: 1 })
  void send('large')
  void send('large')
  await clock.advance(100)
  const deadlineAtMs = clock.monotonicMs() + 150
  const hurried = router.run(createRequest(clock, { workspace: 'large', deadlineAtMs })).run()
  await clock.advance(100)
  t.like((await hurried).extract(), { kind: 'deadline-before-start', answer: { ran: 'no' } })
  t.is(transport.startedMs.length, 2)
})
