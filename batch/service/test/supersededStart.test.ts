/** Guards against starting a task whose work is done: a late end takes the run off while its start order is repeated. */
import { UpstreamPort, type HoldAnswer, type StartAnswer } from '@nettlespur/batch.sessions'
import { ManualClock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import test from 'ava'
import { openSession, SlowHost } from '../__utils__/index.js'

const startTimeoutMs = 500

/** Answers no call; counts the start orders. */
class SilentPort extends UpstreamPort {
  starts = 0
  readonly #clock: ManualClock

  constructor(clock: ManualClock) {
    super()
    this.#clock = clock
  }

  override start(): Promise<StartAnswer> {
    this.starts += 1
    return this.#failLater()
  }

  override stop(): Promise<never> {
    return this.#failLater()
  }

  override hold(): Promise<HoldAnswer> {
    return this.#failLater()
  }

  async #failLater(): Promise<never> {
    await this.#clock.sleep(startTimeoutMs)
    throw new NettlespurError('outcome-unknown', 'no answer')
  }
}

test('a start order is not repeated once a late end has completed its task', async (t) => {
  const clock = new ManualClock()
  const host = new SlowHost(clock, 'u1')
  const port = new SilentPort(clock)
  const lost = host.place(0)
  host.state.apply({ type: 'end-runs', ends: [{ ...lost, outcome: 'lost' }] })
  openSession({ clock, host, port }).start(host.place(0, 2))
  await clock.advance(startTimeoutMs / 2)
  t.is(port.starts, 1)
  host.state.apply({ type: 'end-runs', ends: [{ ...lost, outcome: 'done', isLate: true }] })
  await clock.advance(2 * startTimeoutMs)
  t.is(port.starts, 1)
})

test('a start order without an answer is repeated while its run is placed', async (t) => {
  const clock = new ManualClock()
  const host = new SlowHost(clock, 'u1')
  const port = new SilentPort(clock)
  openSession({ clock, host, port }).start(host.place(0))
  await clock.advance(2 * startTimeoutMs)
  t.is(port.starts, 2)
})
