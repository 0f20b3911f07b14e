/** A leader with fake upstreams, four by default, over faulty links, on a manual clock. Commits take a few milliseconds. */
import type { JobRequest } from '@nettlespur/batch.model'
import { BatchState, type Command, type CommandOutcome } from '@nettlespur/batch.state'
import { ManualClock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import { EitherAsync, Left, Right } from 'purify-ts'
import { BatchLeader } from '../src/batchLeader.js'
import { JobClock } from '../src/jobClock.js'
import { FleetLedger } from '@nettlespur/batch.fakes'
import { createFleetConfig, fleetAttemptsMax } from './createFleetConfig.js'
import { silentLogger } from './silentLogger.js'
import { FleetRelays } from './fleetRelays.js'
import { EvacuationOperator } from './evacuationOperator.js'
import { FaultyPort } from './faultyPort.js'
import { FleetAnnouncer } from './fleetAnnouncer.js'
import { FleetChecks } from './fleetChecks.js'
import { addressOf, FleetLinks } from './fleetLinks.js'
import { FleetUpstreams } from './fleetUpstreams.js'
import type { Logger } from '@nettlespur/core.logger'
import type { FakeFleetOptions, FleetFault } from './fleetOptions.js'

export const upstreamCount = 4
const acceleratorsEach = 8
const commitMs = 8
const announceEveryMs = 1500

export class FakeFleet {
  readonly clock = new ManualClock()
  readonly state = new BatchState()
  readonly ledger: FleetLedger
  readonly #upstreams: FleetUpstreams
  readonly #links = new FleetLinks(this.clock)
  readonly port: FaultyPort
  readonly #logger: Logger
  readonly #opts: FakeFleetOptions
  #term = 0
  /** Shared by all leaders, as they run on the same member here. */
  readonly #jobClock = new JobClock()
  #leader: BatchLeader | undefined
  readonly #announcer: FleetAnnouncer
  readonly relays: FleetRelays
  readonly #operator: EvacuationOperator
  readonly #checks: FleetChecks

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
    this.#checks = new FleetChecks({ state: this.state, ledger: this.ledger })
    this.#upstreams = new FleetUpstreams({ ...opts, clock, ledger: this.ledger })
    this.port = new FaultyPort({
      clock,
      findUpstream: (address) => this.#upstreams.byAddress.get(address),
      nextFault: (address) => this.#links.takeFault(address),
      losesAnswers: (address) => this.#links.losesAnswers(address),
      nextLinkDelayMs: () => opts.linksMs[calls++ % opts.linksMs.length] ?? 1,
      nextLatenessMs: () => opts.lateMs,
      remembersCursor: opts.remembersCursor === true,
      onStartSent: ({ upstreamId }, run) => {
        this.#checks.checkStart(upstreamId, run)
      },
      isPlaced: ({ jobId, step, index, attempt }) => {
        const task = this.state.jobs.get(jobId)?.steps[step]?.tasks[index]
        return task?.phase === 'placed' && task.attempt === attempt
      },
    })
    this.relays = new FleetRelays({
      clock,
      logger: this.#logger,
      port: this.port,
      relayFromUpstreams: opts.relayFromUpstreams,
      state: this.state,
    })
    this.commit({ type: 'apply-config', config: createFleetConfig() })
    for (let at = 0; at < (opts.upstreamCount ?? upstreamCount); at++) this.#upstreams.start(at)
    this.#announcer = new FleetAnnouncer({
      clock,
      links: this.#links,
      upstreams: this.#upstreams.byAddress,
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
    this.#checks.checkFailedJobs()
    this.#jobClock.noteApplied(command, this.state, this.clock.monotonicMs())
    this.#leader?.handleAppliedCommand(command)
    return outcome
  }

  elect(zombieMs = 0): void {
    const former = this.#leader
    const closeFormerPort = this.relays.detachPort()
    if (former !== undefined)
      this.clock.setTimer(zombieMs, () => {
        former.stop()
        closeFormerPort()
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
      port: this.relays.openPort(term),
      jobClock: this.#jobClock,
      getState: () => this.state,
      propose: (command) => EitherAsync.fromPromise(() => this.#propose(command, term)),
      onFailing: () => {
        this.elect()
      },
    })
    void this.#leader.run()
  }

  inject(fault: FleetFault): void {
    switch (fault.kind) {
      case 'fault':
        this.#links.addFaults(fault.fault, fault.calls)
        return
      case 'cut':
        this.#links.cut(addressOf(fault.upstream), fault)
        return
      case 'crash':
        this.#upstreams.crash(fault.upstream, fault.downMs ?? 0)
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
      case 'relay':
        this.relays.inject(fault)
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

  /** One upstream tells the leader that it leaves and runs on, and neither hears the other any more. */
  leaveCutOff(at: number): void {
    void this.#leader?.leave(this.upstreamIdOf(at))
    this.#links.cut(addressOf(at), { forMs: Infinity })
  }

  /** One upstream crashes without notice, and nothing answers at its address any more. */
  crashForGood(at: number): void {
    this.#upstreams.find(at)?.crash()
    this.#links.cut(addressOf(at), { forMs: Infinity })
  }

  /** Changes the capacity of one upstream; its next announcement contains the new one. */
  resize(at: number, accelerators: number): void {
    this.#upstreams.find(at)?.resize(accelerators)
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
    for (const upstream of this.#upstreams.byAddress.values()) upstream.statesBirth = true
  }

  upstreamIdOf(at: number): string {
    return this.#upstreams.find(at)?.processId ?? ''
  }

  /** Whether something may still tell what became of that process: it is up, or another one answers at its address. */
  canSettle(upstreamId: string): boolean {
    const last = [...this.#upstreams.byAddress.values()].find(
      ({ processId }) => processId === upstreamId,
    )
    return last?.isUp !== false
  }

  listUpstreamIds(): string[] {
    return [...this.#upstreams.byAddress.values()].map(({ processId }) => processId)
  }

  healLinks(): void {
    this.#links.heal()
    this.relays.mendAll()
  }

  async #propose(command: Command, term: number) {
    await this.clock.sleep(commitMs)
    if (this.#opts.failsProposal?.(command) === true)
      return Left(new NettlespurError('no-quorum', 'no majority answers'))
    if (term === this.#term) return Right(this.commit(command))
    return Left(new NettlespurError('not-leader', 'another member leads'))
  }
}
