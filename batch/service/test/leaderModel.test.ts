/**
 * The leader's work against upstreams with faulty links, over many schedules: late orders, lost answers,
 * cuts, crashes with new lives at the same address, changes of the leader. Time is a manual clock.
 */
import type { JobRequest, StepSpec } from '@nettlespur/batch.model'
import { BatchState, type Command, type CommandOutcome } from '@nettlespur/batch.state'
import { ManualClock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import test from 'ava'
import fc from 'fast-check'
import assert from 'node:assert/strict'
import { EitherAsync, Left, Right } from 'purify-ts'
import { FakeUpstream, FaultyPort, FleetLedger, type LinkFault } from '../__utils__/index.js'
import { BatchLeader } from '../src/batchLeader.js'

const upstreamCount = 4
const acceleratorsEach = 8
const commitMs = 8
const announceEveryMs = 1500
const attemptsMax = 3
const troubledMs = 20_000
const calmMs = 90_000
/** Ten a second for each upstream: long polls need one in two seconds, and one for each end. */
const looksMax = (10 * upstreamCount * (troubledMs + calmMs)) / 1000
const silentLogger = { debug: noop, info: noop, warn: noop, error: noop }

type Trouble =
  | { kind: 'fault'; fault: LinkFault; calls: number }
  | { kind: 'cut'; upstream: number; forMs: number }
  | { kind: 'crash'; upstream: number }
  | { kind: 'new-leader'; zombieMs: number }
  | { kind: 'cancel'; job: number }

const linkFault = fc.constantFrom<LinkFault>('answer-lost', 'late', 'refused', 'silent')
const trouble: fc.Arbitrary<Trouble> = fc.oneof(
  fc.record({
    kind: fc.constant('fault' as const),
    fault: linkFault,
    calls: fc.integer({ min: 1, max: 6 }),
  }),
  fc.record({
    kind: fc.constant('cut' as const),
    upstream: fc.nat(upstreamCount - 1),
    forMs: fc.integer({ min: 500, max: 15_000 }),
  }),
  fc.record({ kind: fc.constant('crash' as const), upstream: fc.nat(upstreamCount - 1) }),
  fc.record({
    kind: fc.constant('new-leader' as const),
    zombieMs: fc.integer({ min: 0, max: 800 }),
  }),
  fc.record({ kind: fc.constant('cancel' as const), job: fc.nat(5) }),
)

const jobSteps: fc.Arbitrary<StepSpec[]> = fc
  .array(
    fc.record({
      taskCount: fc.integer({ min: 1, max: 5 }),
      accelerators: fc.integer({ min: 1, max: 8 }),
      expectedRunTimeMs: fc.integer({ min: 50, max: 6000 }),
      isGang: fc.boolean(),
    }),
    { minLength: 1, maxLength: 2 },
  )
  .map((steps) =>
    steps.map(({ taskCount, accelerators, expectedRunTimeMs, isGang }, at) => ({
      // A gang has to fit whole into what the upstreams have.
      taskCount: Math.min(taskCount, upstreamCount),
      needs: { cpuMillicores: 100, memoryMiB: 100, accelerators },
      expectedRunTimeMs,
      dependsOn: at === 0 ? [] : [at - 1],
      isGang,
      prefersOneRack: false,
      checkpoints: false,
    })),
  )

const schedule = fc.record({
  jobs: fc.array(fc.record({ atMs: fc.nat(8000), steps: jobSteps, priority: fc.nat(2) }), {
    minLength: 1,
    maxLength: 6,
  }),
  troubles: fc.array(fc.record({ atMs: fc.nat(troubledMs), trouble }), { maxLength: 10 }),
  failures: fc.array(fc.nat(9), { minLength: 5, maxLength: 5 }),
  clockRate: fc.constantFrom(0.98, 0.99, 1),
  lateMs: fc.integer({ min: 300, max: 12_000 }),
  linksMs: fc.array(fc.integer({ min: 1, max: 90 }), { minLength: 1, maxLength: 7 }),
})

interface FleetOptions {
  clockRate: number
  lateMs: number
  failures: readonly number[]
  linksMs: readonly number[]
}

class Fleet {
  readonly clock = new ManualClock()
  readonly state = new BatchState()
  readonly ledger: FleetLedger
  readonly #upstreams = new Map<string, FakeUpstream>()
  readonly #cutUntilMs = new Map<string, number>()
  readonly port: FaultyPort
  readonly #clockRate: number
  #faults: LinkFault[] = []
  #lives = 0
  #term = 0
  #leader: BatchLeader | undefined
  #sequence = 0

  constructor(opts: FleetOptions) {
    const { clock } = this
    this.#clockRate = opts.clockRate
    let runs = 0
    let calls = 0
    this.ledger = new FleetLedger({
      clock,
      acceleratorsEach,
      decideOutcome: () => {
        runs += 1
        return opts.failures.includes(runs % 10) && runs < 30 ? 'failed' : 'done'
      },
    })
    this.port = new FaultyPort({
      clock,
      findUpstream: (address) => this.#upstreams.get(address),
      nextFault: (address) => this.#nextFault(address),
      nextLinkMs: () => opts.linksMs[calls++ % opts.linksMs.length] ?? 1,
      nextDelayMs: () => opts.lateMs,
    })
    for (let at = 0; at < upstreamCount; at++) this.#revive(at)
    void this.#announceForever()
  }

  get leader(): BatchLeader | undefined {
    return this.#leader
  }

  commit(command: Command): CommandOutcome {
    const outcome = this.state.apply(command)
    this.#leader?.noteChange()
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
      logger: silentLogger,
      metrics: new MetricsRegistry(),
      timings: {
        raft: { heartbeatMs: 150, electionTimeoutMs: 700, replaceVoterAfterMs: 2500 },
        session: { leaseMs: 9500, holdWaitMs: 2000 },
        announceEveryMs,
        keepEndedMs: 1_000_000,
      },
      port: this.port,
      getState: () => this.state,
      propose: (command) => EitherAsync.fromPromise(() => this.#propose(command, term)),
    })
    this.#leader.start()
  }

  apply(trouble: Trouble): void {
    switch (trouble.kind) {
      case 'fault':
        for (let call = 0; call < trouble.calls; call++) this.#faults.push(trouble.fault)
        return
      case 'cut':
        this.#cutUntilMs.set(addressOf(trouble.upstream), this.clock.monotonicMs() + trouble.forMs)
        return
      case 'crash':
        this.#upstreams.get(addressOf(trouble.upstream))?.crash()
        this.#revive(trouble.upstream)
        return
      case 'new-leader':
        this.elect(trouble.zombieMs)
        return
      case 'cancel':
        this.commit({ type: 'cancel-job', jobId: `job${trouble.job}` })
    }
  }

  calm(): void {
    this.#faults = []
    this.#cutUntilMs.clear()
  }

  async #propose(command: Command, term: number) {
    await this.clock.sleep(commitMs)
    if (term === this.#term) return Right(this.commit(command))
    return Left(new NettlespurError('not-leader', 'another leads'))
  }

  #nextFault(address: string): LinkFault {
    if (this.#isCut(address)) return 'silent'
    return this.#faults.shift() ?? 'none'
  }

  #isCut(address: string): boolean {
    return (this.#cutUntilMs.get(address) ?? 0) > this.clock.monotonicMs()
  }

  #revive(at: number): void {
    this.#lives += 1
    const address = addressOf(at)
    const { clock, ledger } = this
    const upstreamId = `life${this.#lives}`
    const clockRate = this.#clockRate
    this.#upstreams.set(
      address,
      new FakeUpstream({ upstreamId, address, clock, clockRate, ledger }),
    )
  }

  async #announceForever(): Promise<void> {
    for (;;) {
      for (const upstream of this.#upstreams.values()) void this.#announce(upstream)
      await this.clock.sleep(announceEveryMs)
    }
  }

  async #announce({ upstreamId, address, clockMs }: FakeUpstream): Promise<void> {
    if (this.#isCut(address)) return
    this.#sequence += 1
    const announcing = this.#leader?.announce({
      upstreamId,
      pool: 'pool',
      address,
      dataCentre: 'centre',
      rack: 'rack',
      labels: [],
      capacity: { cpuMillicores: 100_000, memoryMiB: 100_000, accelerators: acceleratorsEach },
      isDraining: false,
      sequence: this.#sequence,
      clockMs,
    })
    await announcing?.catch(() => undefined)
  }
}

test('whatever links, upstreams and leaders do, no task runs twice, too early or after its end, and every job ends', async (t) => {
  await fc.assert(
    fc.asyncProperty(schedule, async ({ jobs, troubles, ...opts }) => {
      const fleet = new Fleet(opts)
      fleet.commit({ type: 'apply-config', config: createConfig() })
      fleet.elect()
      jobs.forEach(({ atMs, steps, priority }, at) => {
        const request: JobRequest = { jobId: `job${at}`, payload: '', steps }
        fleet.ledger.addJob(request)
        fleet.clock.setTimer(atMs, () => {
          const queueName = `queue${priority}`
          fleet.commit({ type: 'submit-job', request, workspace: 'workspace', queueName })
        })
      })
      for (const { atMs, trouble } of troubles) {
        fleet.clock.setTimer(atMs, () => {
          fleet.apply(trouble)
        })
      }
      await fleet.clock.advance(troubledMs)
      fleet.calm()
      await fleet.clock.advance(calmMs)
      fleet.leader?.stop()
      assert.deepEqual(fleet.ledger.violations, [])
      assert.deepEqual([...fleet.state.unsettled.keys()], [])
      assert.deepEqual(listUnfinished(fleet), [])
      assert.ok(fleet.port.looks < looksMax, `${fleet.port.looks} looks`)
    }),
    { numRuns: 60, includeErrorInReport: true },
  )
  t.pass()
})

/** Jobs shown as completed of which a task has not been done. */
function listUnfinished({ state, ledger }: Fleet): string[] {
  return [...state.jobs.values()]
    .filter(({ status }) => status === 'completed')
    .flatMap(({ request: { jobId, steps } }) =>
      steps.flatMap(({ isGang, taskCount }, step) =>
        Array.from({ length: isGang ? 0 : taskCount }, (_, index) => `${jobId}/${step}/${index}`),
      ),
    )
    .filter((key) => !ledger.endedDone.has(key))
}

function createConfig() {
  return {
    version: 1,
    source: '{}',
    pools: [{ name: 'pool', connectionsMax: 8, guardsCapacity: true }],
    workspaces: [{ name: 'workspace', keys: [], guaranteedAccelerators: 16 }],
    queues: [0, 1, 2].map((priority) => ({
      name: `queue${priority}`,
      host: 'host',
      pathPrefix: `/queue${priority}/`,
      pool: 'pool',
      priority,
      attemptsMax,
      stretch: 2,
      targetLatencyMs: 1000,
      anonymous: true,
    })),
  }
}

function addressOf(at: number): string {
  return `127.0.0.1:${9000 + at}`
}

function noop(): void {
  // Lines are of no interest here.
}
