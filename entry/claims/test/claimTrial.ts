/** Entries on a manual clock that share one control, which has the real claim state and the leader's resolver. */
import type { ClaimChange, ClaimQuery } from '@nettlespur/api.schemas'
import { ClaimResolver } from '@nettlespur/control.service'
import { ManualClock } from '@nettlespur/core.clock'
import { NettlespurError, tryAsync, unwrap } from '@nettlespur/core.errors'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import {
  createContract,
  createUpstream,
  FakeControl,
  RecordingLogger,
} from '@nettlespur/entry.fakes'
import {
  EqualShareQuotas,
  EqualShareSlots,
  LocalRequestRouter,
  MostFreePicker,
  RequestQueue,
  type ShortRequest,
} from '@nettlespur/entry.requests'
import { ClusterView } from '@nettlespur/entry.view'
import { ClaimingRouter, UpstreamAnswerCollector } from '../src/index.js'
import { MemoryTransport, MemoryUpstreams } from './memoryUpstreams.js'

/** `lose`: control applies the call, but its answer is lost. `fail`: the call does not reach control. */
export type ControlFault = 'lose' | 'fail'

const deadlineMs = 5000

export class ClaimTrial {
  readonly clock = new ManualClock()
  readonly control = new FakeControl(this.clock)
  readonly upstreams = new MemoryUpstreams(this.clock)
  readonly controlFaults: ControlFault[] = []
  /** Before this time every call to control fails. */
  controlDownUntilMs = 0
  /** Names of processes that have ended, and ids of entries that control considers dead. */
  readonly dead = new Set<string>()
  readonly #resolver: ClaimResolver
  readonly #ended = new AbortController()

  constructor() {
    const contract = createContract()
    const limits = { ...contract.limits, concurrentRequests: 2, queuedRequests: 1 }
    this.control.putContract({ ...contract, limits })
    for (const id of ['1', '2', '3']) {
      this.control.putUpstream(createUpstream({ upstreamId: `u${id}`, address: `127.0.0.1:${id}` }))
    }
    const { holder } = this.control.claims
    this.#resolver = new ClaimResolver(
      {
        clock: this.clock,
        logger: new RecordingLogger(),
        holder,
        log: {
          propose: (command) =>
            tryAsync(() => Promise.resolve(holder.apply(holder.state.appliedIndex + 1, command))),
        },
        client: this.upstreams,
        timings: {},
      },
      { mayLive: (entryId) => !this.dead.has(entryId) },
    )
    void this.#resolver.run(this.#ended.signal)
  }

  end(): void {
    this.#ended.abort()
  }

  /** Creates a process of the entry `entryId`; `process` names it, as an entry may have several one after another. */
  createEntry(entryId: string, process: string): ClaimingRouter {
    const { clock, control, upstreams } = this
    const isDead = (): boolean => this.dead.has(process)
    const logger = new RecordingLogger()
    const view = new ClusterView({ clock, logger })
    view.apply({ ...control.createUpdate(), contractLeaseMs: 10_000_000 }, clock.monotonicMs())
    const quotas = new EqualShareQuotas({ view, entryId })
    const queue = new RequestQueue({
      clock,
      view,
      quotas,
      slots: new EqualShareSlots(view),
      picker: new MostFreePicker(),
    })
    const transport = new MemoryTransport(upstreams, isDead)
    const metrics = new MetricsRegistry()
    return new ClaimingRouter({
      clock,
      logger,
      entryId,
      collector: new UpstreamAnswerCollector(upstreams),
      router: new LocalRequestRouter({ clock, logger, metrics, view, quotas, queue, transport }),
      control: {
        changeClaims: (changes: readonly ClaimChange[]) =>
          tryAsync(() => this.#callControl(isDead, () => unwrap(control.changeClaims(changes)))),
        awaitClaim: (query: ClaimQuery) =>
          tryAsync(() => this.#callControl(isDead, () => unwrap(control.awaitClaim(query)))),
      },
    })
  }

  createRequest(key: string, body: string): ShortRequest {
    return {
      workspace: 'thapa',
      key,
      repeatable: false,
      deadlineAtMs: this.clock.monotonicMs() + deadlineMs,
      contentType: undefined,
      body: Buffer.from(body),
      callerGone: new AbortController().signal,
    }
  }

  async #callControl<T>(isDead: () => boolean, call: () => Promise<T>): Promise<T> {
    if (isDead()) return new Promise<never>(() => undefined)
    const fault = this.controlFaults.shift()
    const isDown = this.clock.monotonicMs() < this.controlDownUntilMs
    if (fault === 'fail' || isDown) throw new NettlespurError('unreachable', 'made to fail')
    const result = await call()
    if (isDead()) return new Promise<never>(() => undefined)
    if (fault === 'lose') throw new NettlespurError('outcome-unknown', 'its answer was lost')
    return result
  }
}
