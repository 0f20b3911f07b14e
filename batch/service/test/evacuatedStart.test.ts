/** Start orders of placements that were committed just before their upstream was evacuated. */
import { UpstreamPort, type HoldAnswer } from '@nettlespur/batch.sessions'
import { NettlespurError } from '@nettlespur/core.errors'
import { ManualClock } from '@nettlespur/core.clock'
import test from 'ava'
import { openSession, SlowHost } from '../__utils__/index.js'

const upstreamId = 'u1'
const clockMs = 1000
const pollMs = 100

/** Answers no start; lists nothing, and carries out stops. */
class MutePort extends UpstreamPort {
  starts = 0
  stops = 0
  readonly #clock: ManualClock

  constructor(clock: ManualClock) {
    super()
    this.#clock = clock
  }

  override async start(_: unknown, __: unknown, timeoutMs: number): Promise<never> {
    this.starts += 1
    await this.#clock.sleep(timeoutMs)
    throw new NettlespurError('outcome-unknown', 'no answer')
  }

  override stop() {
    this.stops += 1
    return Promise.resolve({ type: 'stopping', clockMs } as const)
  }

  override async hold(): Promise<HoldAnswer> {
    await this.#clock.sleep(pollMs)
    return { type: 'held', clockMs, running: [], finished: [], unreadRows: 0 }
  }
}

function open() {
  const clock = new ManualClock()
  const host = new SlowHost(clock, upstreamId)
  const port = new MutePort(clock)
  const session = openSession({ clock, host, port })
  const evacuate = (): void => {
    const change = { dataCentre: 'centre', isInForce: true, expectedRevision: 0 }
    host.state.apply({ type: 'change-evacuation', change })
  }
  return { clock, host, port, session, evacuate }
}

test('a start that is not sent yet when its upstream is evacuated never is, and its task waits again', async (t) => {
  const { clock, host, port, session, evacuate } = open()
  const placement = host.place(0)
  evacuate()
  session.start(placement)
  await clock.advance(1000)
  t.is(port.starts, 0)
  t.is(host.state.jobs.get('j')?.steps[0]?.tasks[0]?.phase, 'waiting')
})

test('a start without an answer is not sent again once its upstream is evacuated, and a stop settles it', async (t) => {
  const { clock, host, port, session, evacuate } = open()
  session.start(host.place(0))
  await clock.advance(1)
  t.is(port.starts, 1)
  evacuate()
  await clock.advance(3000)
  t.is(port.starts, 1)
  t.is(port.stops, 1)
  t.is(host.state.jobs.get('j')?.steps[0]?.tasks[0]?.phase, 'waiting')
})
