import test from 'ava'
import { ManualClock } from '@nettlespur/core.clock'
import { RecordingLogger } from '@nettlespur/entry.fakes'
import fc from 'fast-check'
import { NettlespurError } from '@nettlespur/core.errors'
import {
  RecordedTransport,
  TaskTransport,
  UpstreamRecords,
  type TaskOutcome,
} from '../src/index.js'

function start() {
  const clock = new ManualClock()
  const records = new UpstreamRecords({ clock, logger: new RecordingLogger() })
  const run = (upstreamId: string, result: 'answered' | 'failed' | 'refused', tookMs = 10) => {
    records.noteStart(upstreamId)
    records.noteEnd(upstreamId, { result, tookMs })
  }
  for (const upstreamId of ['u1', 'u2', 'u3']) run(upstreamId, 'answered')
  return { clock, records, run }
}

test('an upstream that fails its requests is ejected, tried with one request, then with twice as many per success', async (t) => {
  const { clock, records, run } = start()
  for (let failed = 0; failed < 5; failed++) run('u1', 'failed')
  t.false(records.canTakeRequest('u1'))
  await clock.advance(999)
  t.false(records.canTakeRequest('u1'))
  await clock.advance(1)
  t.is(records.changes.value, 1)
  for (const allowed of [1, 2, 4]) {
    for (let begun = 0; begun < allowed; begun++) {
      t.true(records.canTakeRequest('u1'))
      records.noteStart('u1')
    }
    t.false(records.canTakeRequest('u1'))
    for (let ended = 0; ended < allowed; ended++) {
      records.noteEnd('u1', { result: ended === 0 ? 'answered' : 'refused', tookMs: 10 })
    }
  }
  run('u1', 'failed')
  t.false(records.canTakeRequest('u1'))
  await clock.advance(1999)
  t.false(records.canTakeRequest('u1'), 'a relapse is out for twice as long')
  await clock.advance(1)
  t.true(records.canTakeRequest('u1'))
})

test('a slow upstream is ejected; one that only refuses is not', (t) => {
  const { records, run } = start()
  for (let round = 0; round < 30; round++) {
    run('u2', 'answered', 20)
    run('u3', 'answered', 20)
    run('u1', 'refused')
  }
  t.true(records.canTakeRequest('u1'))
  for (let round = 0; round < 30; round++) run('u1', 'answered', 400)
  t.false(records.canTakeRequest('u1'))
})

test('at most half of the upstreams are ejected, whatever fails', (t) => {
  const step = fc.tuple(fc.nat({ max: 5 }), fc.constantFrom('answered', 'failed', 'refused'))
  fc.assert(
    fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const { records, run } = start()
      const seen = new Set(['u1', 'u2', 'u3'])
      for (const [index, result] of steps) {
        run(`u${index}`, result)
        seen.add(`u${index}`)
        const out = [...seen].filter((upstreamId) => !records.canTakeRequest(upstreamId)).length
        t.true(out <= seen.size / 2)
      }
    }),
  )
})

test('an attempt whose timeout is shorter than the typical answer does not count against its upstream', async (t) => {
  const { clock, records, run } = start()
  for (let round = 0; round < 10; round++) run('u1', 'answered', 200)
  class LosingTransport extends TaskTransport {
    override run(): Promise<TaskOutcome> {
      const error = new NettlespurError('outcome-unknown', 'no answer in time')
      return Promise.resolve({ kind: 'lost', error })
    }
  }
  const transport = new RecordedTransport({ clock, records, transport: new LosingTransport() })
  const lose = async (timeoutMs: number) => {
    await transport.run({
      upstreamId: 'u1',
      address: '127.0.0.1:1',
      taskId: 'task',
      attempt: 1,
      fence: 1,
      workspace: 'thapa',
      repeatable: false,
      key: undefined,
      contentType: undefined,
      body: Buffer.alloc(0),
      timeoutMs,
      givenUp: new AbortController().signal,
    })
  }
  for (let round = 0; round < 40; round++) await lose(250)
  t.true(records.canTakeRequest('u1'))
  for (let round = 0; round < 40; round++) await lose(5000)
  t.false(records.canTakeRequest('u1'))
})
