import test, { type ExecutionContext } from 'ava'
import { taskHeaders } from '@nettlespur/api.schemas'
import { SystemClock } from '@nettlespur/core.clock'
import { createUpstream, FakeUpstream, type ReceivedTask } from '@nettlespur/entry.fakes'
import fc from 'fast-check'
import { HttpTaskTransport } from '../src/index.js'
import { createRequest, createRouter, readText } from './createRouter.js'

const clock = new SystemClock()

/** Starts one fake upstream for each element of `answers`, and a router that reaches them over HTTP. */
async function start(
  t: ExecutionContext,
  answers: readonly (((task: ReceivedTask) => void) | undefined)[],
) {
  const transport = new HttpTaskTransport({
    clock,
    connectionsPerUpstream: 8,
    connectionProvenMs: 2000,
    answerBytesMax: 1_000_000,
  })
  const fakes = await Promise.all(answers.map((answer) => FakeUpstream.start(answer)))
  t.teardown(async () => {
    transport.close()
    await Promise.all(fakes.map((fake) => fake.stop()))
  })
  const upstreams = fakes.map((fake, index) =>
    createUpstream({ upstreamId: `u${index}`, address: fake.address }),
  )
  const created = createRouter({ clock, transport, upstreams })
  t.teardown(() => {
    created.view.lease.end()
  })
  return { ...created, fakes }
}

test('each caller gets the answer to its own request, in whatever order the answers arrive', async (t) => {
  const { router, fakes } = await start(t, [undefined])
  const [fake] = fakes
  if (fake === undefined) return
  let seen = 0
  await fc.assert(
    fc.asyncProperty(
      fc.shuffledSubarray([0, 1, 2, 3, 4, 5, 6, 7], { minLength: 8 }),
      async (order) => {
        const results = order.map((index) =>
          router.run(createRequest(clock, { body: Buffer.from(`caller ${index}`) })).run(),
        )
        const tasks = (await fake.whenReceived(seen + order.length)).slice(seen)
        seen += order.length
        for (const index of order) {
          const task = tasks.find((received) => received.body === `caller ${index}`)
          task?.answer(`answer to caller ${index}`)
        }
        for (const [place, result] of (await Promise.all(results)).entries()) {
          const answer = result.unsafeCoerce()
          t.is(readText(answer), `answer to caller ${order[place] ?? -1}`)
        }
      },
    ),
    { numRuns: 20 },
  )
})

test('a truncated answer is never delivered: the outcome is unknown, or a repeatable request is retried elsewhere', async (t) => {
  const truncate = (task: ReceivedTask) => {
    task.truncate()
  }
  const { router, fakes } = await start(t, [truncate, truncate, truncate])
  const once = await router.run(createRequest(clock)).run()
  t.like(once.extract(), { kind: 'outcome-unknown' })
  t.is(fakes.flatMap((fake) => fake.received.value).length, 1)
  const repeated = await router.run(createRequest(clock, { repeatable: true })).run()
  t.like(repeated.extract(), { kind: 'outcome-unknown' })
  t.is(fakes.flatMap((fake) => fake.received.value).length, 4)
})

test('an answer of another task, another attempt, or of no stated length is not delivered', async (t) => {
  const wrong: [string, (task: ReceivedTask) => void][] = [
    [
      'of another task',
      (task) => {
        task.answer('not yours', { [taskHeaders.taskId]: 'other' })
      },
    ],
    [
      'of another attempt',
      (task) => {
        task.answer('late', { [taskHeaders.attempt]: '9' })
      },
    ],
    [
      'does not state its whole length',
      (task) => {
        task.answerChunked('how long?')
      },
    ],
  ]
  for (const [reason, answer] of wrong) {
    const { router } = await start(t, [answer])
    const error = (await router.run(createRequest(clock)).run()).extract()
    t.like(error, { kind: 'outcome-unknown' })
    t.true(error instanceof Error && error.message.includes(reason), reason)
  }
})

test('a request that the upstream refused is retried elsewhere, even if it is not repeatable', async (t) => {
  const { router, fakes } = await start(t, [
    (task) => {
      task.refuse()
    },
    (task) => {
      task.answer('whole', {}, 201)
    },
  ])
  const answer = (await router.run(createRequest(clock)).run()).unsafeCoerce()
  t.like(answer, { status: 201, attempt: 2, upstreamId: 'u1' })
  t.is(readText(answer), 'whole')
  t.is(fakes.flatMap((fake) => fake.received.value).length, 2)
})

test('with no upstream listening, a request ends with "no-upstream" and did not run', async (t) => {
  const { router, fakes } = await start(t, [undefined, undefined])
  await Promise.all(fakes.map((fake) => fake.stop()))
  const result = await router.run(createRequest(clock)).run()
  t.like(result.extract(), { kind: 'no-upstream', answer: { ran: 'no' } })
})
