/** A leader with four fake upstreams over faulty links, on a manual clock. Commits take a few milliseconds. */
import { runKey, type JobRequest, type RunRef } from '@nettlespur/batch.model'
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
import { EvacuationOperator } from './evacuationOperator.js'
import { FaultyPort } from './faultyPort.js'
import { FleetAnnouncer } from './fleetAnnouncer.js'
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
  readonly #links = new FleetLinks(this.clock)
  readonly port: FaultyPort
  readonly #logger: Logger
  readonly #opts: FakeFleetOptions
  #startedUpstreams = 0
  #term = 0
  /** Shared by all leaders, as they run on the same member here. */
  readonly #jobClock = new JobClock()
  #leader: BatchLeader | undefined
  readonly #announcer: FleetAnnouncer
  readonly #operator: EvacuationOperator

  constructor(opts: FakeFleetOptions) {
    const { clock } = this
    this.#opts = opts
    this.#logger = opts.logger ?? silentLogger
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
      remembersCursor: opts.remembersCursor === true,
      onStartSent: ({ upstreamId }, run) => {
        this.#checkNotEvacuated(upstreamId, run)
      },
      isPlaced: ({ jobId, step, index, attempt }) => {
        const task = this.state.jobs.get(jobId)?.steps[step]?.tasks[index]
        return task?.phase === 'placed' && task.attempt === attempt
      },
    })
    this.commit({ type: 'apply-config', config: createFleetConfig() })
    for (let at = 0; at < upstreamCount; at++) this.#startUpstream(at)
    this.#announcer = new FleetAnnouncer({
      clock,
      links: this.#links,
      upstreams: this.#upstreams,
      findLeader: () => this.#leader,
    })
    void this.#announcer.announceForever(announceEveryMs)
    this.#operator = new EvacuationOperator({
      clock,
      find: (dataCentre) => this.state.evacuations.find(dataCentre),
      propose: async (command) => (await this.#propose(command, this.#term)).toMaybe().extract(),
    })
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
      metrics: this.#opts.metrics ?? new MetricsRegistry(),
      upstreamSpeeds: this.#opts.upstreamSpeeds,
      timings: {
        raft: { heartbeatMs: 150, electionTimeoutMs: 700, replaceVoterAfterMs: 2500 },
        session: { leaseMs: 9500, holdWaitMs: 2000 },
        announceEveryMs,
        keepEndedMs: 1_000_000,
        claimBounds: this.#opts.claimBounds,
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
        this.#crash(fault.upstream, fault.downMs ?? 0)
        return
      case 'late-announcement':
        this.#announcer.announceLate(addressOf(fault.upstream), fault.delayMs)
        return
      case 'foreign-announcement':
        this.#announcer.announceForeign(addressOf(fault.upstream), fault.bornOffsetMs)
        return
      case 'new-leader':
        this.elect(fault.zombieMs)
        return
      case 'cancel':
        this.commit({ type: 'cancel-job', jobId: `job${fault.job}` })
        return
      case 'evacuate':
        void this.#operator.evacuate(fault)
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
    await this.#announcer.drain(addressOf(at), drainRemainingMs)
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
    this.#announcer.stopAnnouncing(addressOf(at))
  }

  /** One upstream refuses every start as unhealthy, but announces itself and answers other calls as before. */
  makeUnhealthy(at: number): void {
    this.#links.makeUnhealthy(addressOf(at))
  }

  /** From now on all upstreams say when they were born. */
  stateBirths(): void {
    for (const upstream of this.#upstreams.values()) upstream.statesBirth = true
  }

  upstreamIdOf(at: number): string {
    return this.#upstreams.get(addressOf(at))?.processId ?? ''
  }

  listUpstreamIds(): string[] {
    return Array.from({ length: upstreamCount }, (_, at) => this.upstreamIdOf(at))
  }

  healLinks(): void {
    this.#links.heal()
  }

  async #propose(command: Command, term: number) {
    await this.clock.sleep(commitMs)
    if (this.#opts.failsProposal?.(command) === true)
      return Left(new NettlespurError('no-quorum', 'no majority answers'))
    if (term === this.#term) return Right(this.commit(command))
    return Left(new NettlespurError('not-leader', 'another member leads'))
  }

  #checkNotEvacuated(upstreamId: string, run: RunRef): void {
    if (this.state.isEvacuated(upstreamId))
      this.ledger.violations.push(`${runKey(run)} was sent to ${upstreamId}, which is evacuated`)
  }

  #crash(at: number, downMs: number): void {
    const upstream = this.#upstreams.get(addressOf(at))
    if (upstream?.isUp !== true) return
    upstream.crash()
    if (downMs === 0) {
      this.#startUpstream(at)
      return
    }
    this.clock.setTimer(downMs, () => {
      this.#startUpstream(at)
    })
  }

  #startUpstream(at: number): void {
    this.#startedUpstreams += 1
    const address = addressOf(at)
    const { clock, ledger } = this
    const { clockRate, guardsCapacity = true, remembersCursor = false } = this.#opts
    const bornMs = this.#opts.bornMs?.(this.#startedUpstreams)
    const speed = this.#opts.speeds?.[at]
    const upstream = new FakeUpstream({
      upstreamId: bornMs === undefined ? `life${this.#startedUpstreams}` : `upstream${at}`,
      ...(bornMs === undefined ? {} : { bornMs }),
      ...(speed === undefined ? {} : { speed }),
      address,
      clock,
      clockRate,
      ledger,
      guardsCapacity,
      remembersCursor,
      onCrashingRun: () => {
        this.#crash(at, restartDelayMs)
      },
    })
    upstream.statesBirth = this.#opts.statesBirth ?? true
    this.#upstreams.set(address, upstream)
  }
}
