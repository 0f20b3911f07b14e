/** A trial start keeps other work from its upstream, and must not do so once the run is no longer placed there. */
import { UpstreamPort, type HoldAnswer } from '@nettlespur/batch.sessions'
import { ManualClock } from '@nettlespur/core.clock'
import test from 'ava'
import { openSession, SlowHost } from '../__utils__/index.js'

const upstreamId = 'u1'
const clockMs = 1000
const pollMs = 100

/** Starts what it is told, and never lists a run, as an upstream does whose rows cannot be read. */
class UnlistedPort extends UpstreamPort {
  readonly #clock: ManualClock

  constructor(clock: ManualClock) {
    super()
    this.#clock = clock
  }

  override start() {
    return Promise.resolve({ type: 'started', clockMs } as const)
  }

  override stop() {
    return Promise.resolve({ type: 'stopping', clockMs } as const)
  }

  override async hold(): Promise<HoldAnswer> {
    await this.#clock.sleep(pollMs)
    return { type: 'held', clockMs, running: [], finished: [], unreadRows: 1 }
  }
}

test('a run on trial does not block its upstream once another member has finished its gang', async (t) => {
  const clock = new ManualClock()
  const host = new SlowHost(clock, upstreamId, { isGang: true })
  const crashed = host.place(0)
  host.state.apply({
    type: 'end-runs',
    ends: [{ ...crashed, outcome: 'crashed', isCertain: true, blame: 'suspected' }],
  })
  const session = openSession({ clock, host, port: new UnlistedPort(clock) })
  const member = host.place(0, 2)
  const other = { ...member, index: 1, upstreamId: 'u2' }
  host.state.apply({ type: 'place-tasks', placements: [other] })
  session.start(member)
  await clock.advance(5 * pollMs)
  t.true(session.tracks.hasTrial)
  host.state.apply({ type: 'end-runs', ends: [{ ...other, outcome: 'done' }] })
  await clock.advance(5 * pollMs)
  t.false(session.tracks.hasTrial)
  t.false(session.tracks.hasUnproven)
})
