/**
 * Guards against a run that stays recorded as running although its upstream has restarted. An upstream crashes, and a
 * new process with another upstream id answers at its address. While the session commits the ends of all runs placed
 * on the old id, one more placement on that id is committed, and its start is answered `gone`. If the session stops
 * after the first commit, nothing ends that run.
 */
import { runKey } from '@nettlespur/batch.model'
import {
  UpstreamPort,
  type HoldAnswer,
  type StartAnswer,
  type StopAnswer,
} from '@nettlespur/batch.sessions'
import { ManualClock } from '@nettlespur/core.clock'
import test from 'ava'
import { openSession, SlowHost } from '../__utils__/index.js'

const upstreamId = 'u1'
const startMs = 5
const gone = { type: 'gone', clockMs: undefined } as const

/** Answers as an upstream whose address now belongs to a process with another upstream id. */
class RestartedUpstreamPort extends UpstreamPort {
  readonly #clock: ManualClock

  constructor(clock: ManualClock) {
    super()
    this.#clock = clock
  }

  override async start(): Promise<StartAnswer> {
    await this.#clock.sleep(startMs)
    return gone
  }

  override stop(): Promise<StopAnswer> {
    return Promise.resolve(gone)
  }

  override hold(): Promise<HoldAnswer> {
    return Promise.resolve(gone)
  }
}

function startSession() {
  const clock = new ManualClock()
  const host = new SlowHost(clock, upstreamId)
  const session = openSession({
    clock,
    host,
    port: new RestartedUpstreamPort(clock),
    takeoverMs: 0,
  })
  return { clock, host, session }
}

test('a run that is placed on a gone upstream while the ends of earlier runs are being committed is ended too', async (t) => {
  const { clock, host, session } = startSession()
  session.start(host.place(0))
  // The first hold is answered `gone` at once, so the end of this run is committed one millisecond after this pause.
  await clock.advance(SlowHost.commitMs - 1)
  const late = host.place(1)
  session.start(late)
  await clock.advance(10_000)
  t.false(host.state.placements.getByUpstream(upstreamId).has(runKey(late)))
  t.deepEqual(host.gone, [upstreamId])
})

test('the ends of the runs on a gone upstream are proposed again if their commit fails', async (t) => {
  const { clock, host, session } = startSession()
  host.failingCommits = 3
  session.start(host.place(0))
  await clock.advance(10_000)
  t.is(host.state.placements.getByUpstream(upstreamId).size, 0)
  t.deepEqual(host.gone, [upstreamId])
})
