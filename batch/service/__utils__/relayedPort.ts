/** A leader's port with two relays on a manual clock, over upstreams that record what reaches them. */
import { assignMember, RelayedUpstreamPort } from '@nettlespur/batch.relays'
import {
  UpstreamPort,
  type HoldAnswer,
  type HoldOrder,
  type StartAnswer,
  type StartOrder,
  type StopAnswer,
  type UpstreamTarget,
} from '@nettlespur/batch.sessions'
import { ManualClock, type Clock } from '@nettlespur/core.clock'
import { toNettlespurError } from '@nettlespur/core.errors'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import { relayAddresses } from './fleetRelays.js'
import { createRecorder } from './recorder.js'
import { SimulatedRelayLink } from './simulatedRelayLink.js'

const leaderAddress = '127.0.0.1:7001'
const answerMs = 5

/** Answers starts and stops after a few milliseconds, and polls after their wait. */
export class RecordingPort extends UpstreamPort {
  readonly startedAtMs: number[] = []
  readonly fences: number[] = []
  holds = 0
  readonly #clock: Clock

  constructor(clock: Clock) {
    super()
    this.#clock = clock
  }

  override async start(_to: UpstreamTarget, { fence }: StartOrder): Promise<StartAnswer> {
    this.startedAtMs.push(this.#clock.monotonicMs())
    this.fences.push(fence)
    await this.#clock.sleep(answerMs)
    return { type: 'started', clockMs: this.#clock.monotonicMs() }
  }

  override async stop(): Promise<StopAnswer> {
    await this.#clock.sleep(answerMs)
    return { type: 'stopping', clockMs: undefined }
  }

  override async hold(_to: UpstreamTarget, { waitMs }: HoldOrder): Promise<HoldAnswer> {
    this.holds += 1
    await this.#clock.sleep(waitMs + answerMs)
    return { type: 'held', running: [], finished: [], unreadRows: 0, clockMs: undefined }
  }
}

export interface RelayedPortOptions {
  term?: number
  relayFromUpstreams?: number
  countUpstreams?: () => number
  /** Both relays by default. */
  listRelays?: () => readonly string[]
}

/** The port of a leader, with the relays taken in already if they are used. */
export async function startRelayedPort(opts: RelayedPortOptions = {}) {
  const clock = new ManualClock()
  const upstreams = new RecordingPort(clock)
  const link = new SimulatedRelayLink({ clock, port: upstreams, addresses: relayAddresses })
  const metrics = new MetricsRegistry()
  const log = createRecorder()
  const open = (term: number): RelayedUpstreamPort =>
    new RelayedUpstreamPort({
      clock,
      logger: log.logger,
      metrics,
      port: upstreams,
      link,
      ownAddress: leaderAddress,
      relayFromUpstreams: opts.relayFromUpstreams ?? 1,
      leadership: {
        term,
        countUpstreams: opts.countUpstreams ?? (() => 10),
        listMemberAddresses: () => [leaderAddress, ...(opts.listRelays?.() ?? relayAddresses)],
      },
    })
  const port = open(opts.term ?? 1)
  await clock.advance(100)
  return { clock, upstreams, link, metrics, log, port, open }
}

/** An upstream that is assigned to the member while `members` serve. */
export function findUpstreamOf(
  member: string,
  members: readonly string[] = [leaderAddress, ...relayAddresses],
): UpstreamTarget {
  for (let portNumber = 9000; ; portNumber++) {
    const address = `127.0.0.1:${portNumber}`
    if (assignMember(address, members) === member) return { upstreamId: address, address }
  }
}

export function createStart(fence = 7): StartOrder {
  const run = { jobId: 'job', step: 0, index: 0, attempt: 1 }
  return { run, payload: 'payload', checkpoint: '', leaseEndMs: 1000, fence }
}

export const pollOrder: HoldOrder = { leaseEndMs: undefined, fence: 7, cursor: 3, waitMs: 2000 }

export interface SettledCall {
  /** The type of the answer, or the kind of the error; undefined while the call is in progress. */
  result: string | undefined
  settledAtMs: number | undefined
}

/** Watches what comes of a call and when. */
export function watchCall(clock: ManualClock, call: Promise<{ type: string }>): SettledCall {
  const settled: SettledCall = { result: undefined, settledAtMs: undefined }
  const note = (result: string): void => {
    settled.result = result
    settled.settledAtMs = clock.monotonicMs()
  }
  call.then(
    ({ type }) => {
      note(type)
    },
    (thrown: unknown) => {
      note(toNettlespurError(thrown).kind)
    },
  )
  return settled
}
