/** A leader with four fake upstreams over faulty links, on a manual clock. Commits take a few milliseconds. */
import type { JobRequest } from '@nettlespur/batch.model'
import { BatchState, type Command, type CommandOutcome } from '@nettlespur/batch.state'
import { ManualClock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import { EitherAsync, Left, Right } from 'purify-ts'
import { BatchLeader } from '../src/batchLeader.js'
import { JobClock } from '../src/jobClock.js'
import { FakeUpstream, FleetLedger } from '@nettlespur/batch.fakes'
import { createFleetConfig, fleetAttemptsMax } from './createFleetConfig.js'
import { silentLogger } from './silentLogger.js'
import { FaultyPort } from './faultyPort.js'
import { addressOf, FleetLinks } from './fleetLinks.js'
import type { Logger } from '@nettlespur/core.logger'
import type { FakeFleetOptions, FleetFault } from './fleetOptions.js'

export const upstreamCount = 4
const acceleratorsEach = 8
const commitMs = 8
const announceEveryMs = 1500
/** From the crash of an upstream by a run until its next process answers at the same address. */
const restartDelayMs = 3000

export class FakeFleet {
  readonly clock = new ManualClock()
  readonly state = new BatchState()
  readonly ledger: FleetLedger
  readonly #upstreams = new Map<string, FakeUpstream>()
  /** When each draining upstream leaves, by its id. */
  readonly #leavesAtMs = new Map<string, number>()
  readonly #links = new FleetLinks(this.clock)
  readonly #notAnnouncing = new Set<string>()
  readonly port: FaultyPort
  readonly #clockRate: number
  readonly #logger: Logger
  readonly #guardsCapacity: boolean
  #startedUpstreams = 0
  #term = 0
  /** Shared by all leaders, as they run on the same member here. */
  readonly #jobClock = new JobClock()
  #leader: BatchLeader | undefined
  #sequence = 0

  constructor(opts: FakeFleetOptions) {
    const { clock } = this
    this.#clockRate = opts.clockRate
    this.#logger = opts.logger ?? silentLogger
    this.#guardsCapacity = opts.guardsCapacity ?? true
    let runs = 0
    let calls = 0
    this.ledger = new FleetLedger({
      clock,
      acceleratorsEach,
      attemptsMax: fleetAttemptsMax,
      decideOutcome: () => {
        runs += 1
        return opts.failures.includes(runs % 10) && runs < 30 ? 'failed' : 'done'
      },
      ...(opts.crashes === undefined ? {} : { crashes: opts.crashes }),
    })
    this.port = new FaultyPort({
      clock,
      findUpstream: (address) => this.#upstreams.get(address),
      nextFault: (address) => this.#links.takeFault(address),
      nextLinkDelayMs: () => opts.linksMs[calls++ % opts.linksMs.length] ?? 1,
      nextLatenessMs: () => opts.lateMs,
    })
    this.commit({ type: 'apply-config', config: createFleetConfig() })
    for (let at = 0; at < upstreamCount; at++) this.#startUpstream(at)
    void this.#announceForever()
  }

  get leader(): BatchLeader | undefined {
    return this.#leader
  }

  commit(command: Command): CommandOutcome {
    const outcome = this.state.apply(command)
    this.#jobClock.noteApplied(command, this.state, this.clock.monotonicMs())
    this.#leader?.handleAppliedCommand(command)
    return outcome
  }

  elect(zombieMs = 0): void {
    const former = this.#leader
    if (former !== undefined)
      this.clock.setTimer(zombieMs, () => {
        former.stop()
      })
    this.#term += 1
    const term = this.#term
    this.#leader = new BatchLeader({
      term,
      clock: this.clock,
      logger: this.#logger,
      metrics: new MetricsRegistry(),
      timings: {
        raft: { heartbeatMs: 150, electionTimeoutMs: 700, replaceVoterAfterMs: 2500 },
        session: { leaseMs: 9500, holdWaitMs: 2000 },
        announceEveryMs,
        keepEndedMs: 1_000_000,
      },
      port: this.port,
      jobClock: this.#jobClock,
      getState: () => this.state,
      propose: (command) => EitherAsync.fromPromise(() => this.#propose(command, term)),
    })
    this.#leader.start()
  }

  inject(fault: FleetFault): void {
    switch (fault.kind) {
      case 'fault':
        this.#links.addFaults(fault.fault, fault.calls)
        return
      case 'cut':
        this.#links.cut(addressOf(fault.upstream), fault.forMs)
        return
      case 'crash':
        this.#upstreams.get(addressOf(fault.upstream))?.crash()
        this.#startUpstream(fault.upstream)
        return
      case 'new-leader':
        this.elect(fault.zombieMs)
        return
      case 'cancel':
        this.commit({ type: 'cancel-job', jobId: `job${fault.job}` })
    }
  }

  /** Submits a job to the queue of that priority. */
  submit(request: JobRequest, priority: number): void {
    this.ledger.addJob(request)
    const queueName = `queue${priority}`
    this.commit({ type: 'submit-job', request, workspace: 'workspace', queueName })
  }

  /** One upstream announces that it is draining. Resolves once the leader has answered. */
  async drain(at: number, drainRemainingMs = 60_000): Promise<void> {
    const upstream = this.#upstreams.get(addressOf(at))
    if (upstream === undefined) return
    this.#leavesAtMs.set(upstream.upstreamId, this.clock.monotonicMs() + drainRemainingMs)
    await this.#announce(upstream)
  }

  /** One upstream tells the leader that it leaves, and nothing answers at its address any more. */
  leave(at: number): void {
    void this.#leader?.leave(this.upstreamIdOf(at))
    this.crashForGood(at)
  }

  /** One upstream crashes without notice, and nothing answers at its address any more. */
  crashForGood(at: number): void {
    const address = addressOf(at)
    this.#upstreams.get(address)?.crash()
    this.#links.cut(address, Infinity)
  }

  /** Changes the capacity of one upstream; its next announcement contains the new one. */
  resize(at: number, accelerators: number): void {
    this.#upstreams.get(addressOf(at))?.resize(accelerators)
  }

  /** One upstream no longer announces itself, but answers calls as before. */
  stopAnnouncing(at: number): void {
    this.#notAnnouncing.add(addressOf(at))
  }

  /** One upstream refuses every start as unhealthy, but announces itself and answers other calls as before. */
  makeUnhealthy(at: number): void {
    this.#links.makeUnhealthy(addressOf(at))
  }

  upstreamIdOf(at: number): string {
    return this.#upstreams.get(addressOf(at))?.upstreamId ?? ''
  }

  listUpstreamIds(): string[] {
    return Array.from({ length: upstreamCount }, (_, at) => this.upstreamIdOf(at))
  }

  healLinks(): void {
    this.#links.heal()
  }

  async #propose(command: Command, term: number) {
    await this.clock.sleep(commitMs)
    if (term === this.#term) return Right(this.commit(command))
    return Left(new NettlespurError('not-leader', 'another member leads'))
  }

  #startUpstream(at: number): void {
    this.#startedUpstreams += 1
    const address = addressOf(at)
    const { clock, ledger } = this
    const upstreamId = `life${this.#startedUpstreams}`
    const clockRate = this.#clockRate
    const onCrashingRun = (): void => {
      this.#upstreams.get(address)?.crash()
      clock.setTimer(restartDelayMs, () => {
        this.#startUpstream(at)
      })
    }
    this.#upstreams.set(
      address,
      new FakeUpstream({
        upstreamId,
        address,
        clock,
        clockRate,
        ledger,
        guardsCapacity: this.#guardsCapacity,
        onCrashingRun,
      }),
    )
  }

  async #announceForever(): Promise<void> {
    for (;;) {
      for (const upstream of this.#upstreams.values()) void this.#announce(upstream)
      await this.clock.sleep(announceEveryMs)
    }
  }

  async #announce({ upstreamId, address, clockMs, accelerators }: FakeUpstream): Promise<void> {
    if (this.#links.isCut(address) || this.#notAnnouncing.has(address)) return
    if (this.#upstreams.get(address)?.isUp !== true) return
    const leavesAtMs = this.#leavesAtMs.get(upstreamId)
    this.#sequence += 1
    const announcing = this.#leader?.announce({
      upstreamId,
      pool: 'pool',
      address,
      dataCentre: 'centre',
      rack: 'rack',
      labels: [],
      capacity: { cpuMillicores: 100_000, memoryMiB: 100_000, accelerators },
      isDraining: leavesAtMs !== undefined,
      ...(leavesAtMs === undefined
        ? {}
        : { drainRemainingMs: Math.max(0, leavesAtMs - this.clock.monotonicMs()) }),
      sequence: this.#sequence,
      clockMs,
    })
    await announcing?.catch(() => undefined)
  }
}
