/** Runs Raft nodes on simulated disks and links and one manual clock, and checks the invariants of consensus. */
import { ManualClock } from '@nettlespur/core.clock'
import { toNettlespurError, unwrap } from '@nettlespur/core.errors'
import { createLogger } from '@nettlespur/core.logger'
import { RaftNode, type Member, type RaftLimits, type RaftTimings } from '../src/index.js'
import { MemoryDisk } from './memoryDisk.js'
import { MemoryLinks } from './memoryLinks.js'
import { MemoryLogStore } from './memoryLogStore.js'
import { PausableClock } from './pausableClock.js'
import { RecordingMachine } from './recordingMachine.js'
import { createSeededRandom } from './seededRandom.js'

/** Kinds of errors after which a proposal must never be applied. */
const uncommittedErrorKinds = new Set(['not-leader', 'no-quorum'])
const defaultTimings: RaftTimings = {
  heartbeatMs: 250,
  electionTimeoutMs: 1500,
  replaceVoterAfterMs: 20_000,
}

export interface RunningNode {
  readonly raft: RaftNode<number>
  readonly machine: RecordingMachine
  readonly store: MemoryLogStore
}

export interface TestClusterOptions {
  seed: number
  voters: number
  /** Share of messages that are late and of syncs that are slow, from 0 to 1; 0 by default. */
  slowShare?: number
  timings?: Partial<RaftTimings>
  limits?: Partial<RaftLimits>
  /** Longest payload that the links carry; unlimited by default. */
  payloadBytesMax?: number
  /** Passed to each node as `RaftOptions.leaseReads`; true by default. */
  leaseReads?: boolean
}

export class TestCluster {
  readonly clock = new ManualClock(new Date('2026-01-01T00:00:00Z'))
  readonly links: MemoryLinks
  /** The commands that any node has applied, in order. */
  readonly history: string[] = []
  readonly acknowledged: string[] = []
  readonly refused: string[] = []
  /** Descriptions of the violated invariants. */
  readonly violations: string[] = []
  readonly logLines: string[] = []
  readonly running = new Map<string, RunningNode>()
  readonly #opts: TestClusterOptions
  readonly #random: () => number
  readonly #disks = new Map<string, MemoryDisk>()
  readonly #leaders = new Map<number, string>()
  readonly #started = new Set<string>()
  readonly #clocks = new Map<string, PausableClock>()
  #disksMade = 0
  #disksLost = 0
  #removals = 0
  #proposed = 0

  constructor(opts: TestClusterOptions) {
    this.#opts = opts
    this.#random = createSeededRandom(opts.seed)
    this.links = new MemoryLinks(this.clock, this.#random)
    this.links.lateShare = opts.slowShare ?? 0
  }

  static async start(opts: TestClusterOptions): Promise<TestCluster> {
    const cluster = new TestCluster(opts)
    for (const { memberId } of cluster.voters) await cluster.startNode(memberId)
    return cluster
  }

  get voters(): Member[] {
    return Array.from({ length: this.#opts.voters }, (_, at) => createMember(at + 1))
  }

  /** The leader of the highest term; undefined if there is none. */
  get leader(): RaftNode<number> | undefined {
    return [...this.running.values()]
      .map(({ raft }) => raft)
      .filter((raft) => raft.describe().role === 'leader')
      .sort((left, right) => right.describe().term - left.describe().term)[0]
  }

  async startNode(memberId: string): Promise<void> {
    if (this.running.has(memberId)) return
    this.#started.add(memberId)
    const disk = this.#disks.get(memberId) ?? new MemoryDisk(`disk-${this.#disksMade++}`)
    this.#disks.set(memberId, disk)
    const store = new MemoryLogStore(disk, this.clock, this.#random)
    store.slowShare = this.#opts.slowShare ?? 0
    const machine = new RecordingMachine(this.history)
    const raft = await RaftNode.open({
      memberId,
      initialMembers: this.voters,
      clock: this.#getClock(memberId),
      logger: createLogger({
        name: 'raft',
        instanceId: memberId,
        write: (line) => this.logLines.push(line),
      }),
      store,
      transport: this.links.createTransport(memberId, this.#opts.payloadBytesMax),
      machine,
      timings: { ...defaultTimings, ...this.#opts.timings },
      limits: this.#opts.limits ?? {},
      leaseReads: this.#opts.leaseReads ?? true,
      random: this.#random,
    })
    raft.leadership.subscribe(({ role, term }) => {
      if (role !== 'leader') return
      this.#checkSingleLeader(term, memberId)
      void this.read(memberId)
    })
    this.running.set(memberId, { raft, machine, store })
    this.links.nodes.set(memberId, raft)
  }

  /** Stops a node at once; a write that is not synced yet may be lost. */
  crashNode(memberId: string): void {
    const node = this.running.get(memberId)
    if (node === undefined) return
    node.store.crash()
    this.running.delete(memberId)
    this.links.nodes.delete(memberId)
    void node.raft.stop()
    this.resumeNode(memberId)
  }

  /**
   * Crashes a node and erases its disk. Does nothing if that could lose committed entries and `evenIfFatal` is not
   * set: if a disk was erased before, a member was removed, or there are fewer than three voters, since two voters
   * cannot survive the loss of one.
   */
  loseDisk(memberId: string, opts: { evenIfFatal?: boolean } = {}): void {
    const members = this.leader?.describe().members ?? []
    const voters = members.filter(({ role }) => role !== 'learner')
    const isFatal = this.#disksLost > 0 || this.#removals > 0 || voters.length < 3
    if (isFatal && opts.evenIfFatal !== true) return
    this.#disksLost++
    this.crashNode(memberId)
    this.#disks.delete(memberId)
  }

  /** Holds back the timers and messages of a node, as if its process were suspended. */
  pauseNode(memberId: string): void {
    this.#getClock(memberId).pause()
    this.links.pausedDeliveries.set(memberId, [])
  }

  /** Calls `runFirst` before the timers and messages that were held back. */
  resumeNode(memberId: string, runFirst: () => void = () => undefined): void {
    runFirst()
    this.#getClock(memberId).resume()
    this.links.resume(memberId)
  }

  /** Proposes a command to this node and records whether it was acknowledged or refused. */
  async propose(memberId: string): Promise<void> {
    const node = this.running.get(memberId)
    if (node === undefined) return
    const command = `command ${this.#proposed++}`
    const outcome = await node.raft.propose(Buffer.from(command)).run()
    if (outcome.isRight()) this.acknowledged.push(command)
    else if (uncommittedErrorKinds.has(toNettlespurError(outcome.extract()).kind)) {
      this.refused.push(command)
    }
  }

  /** Reads from this node and checks that the state holds every command acknowledged before the read began. */
  async read(memberId: string): Promise<void> {
    const node = this.running.get(memberId)
    if (node === undefined) return
    const before = [...this.acknowledged]
    if ((await node.raft.readBarrier().run()).isLeft()) return
    const missing = before.filter((command) => !node.machine.applied.includes(command))
    if (missing.length > 0)
      this.violations.push(`a read at ${memberId} lacks ${missing.join(', ')}`)
  }

  /** Does nothing if there is no leader, or if a member would be removed after a disk was lost. */
  async changeMembers(change: 'add' | 'remove', number: number): Promise<void> {
    const member = createMember(number)
    const { leader } = this
    if (leader === undefined || (change === 'remove' && this.#disksLost > 0)) return
    if (change === 'remove') this.#removals++
    await (change === 'add' ? leader.addMember(member) : leader.removeMember(member.memberId)).run()
  }

  /** Ends all injected faults and waits until a proposal is committed and every member has applied it. */
  async settle(): Promise<void> {
    this.links.partition([])
    this.links.lossShare = 0
    this.links.lateShare = 0
    for (const memberId of this.#clocks.keys()) this.resumeNode(memberId)
    for (const memberId of this.#started) await this.startNode(memberId)
    for (let second = 0; second < 60; second++) {
      await this.clock.advance(1000)
      if (await this.#tryToCommitOnAll()) return
    }
    const nodeStates = [...this.running].map(
      ([memberId, { raft, machine }]) =>
        `${memberId}: ${machine.applied.length} of ${this.history.length}, ${JSON.stringify(raft.describe())}`,
    )
    this.violations.push(
      `no progress after all faults ended:\n${nodeStates.join('\n')}\n${this.logLines.slice(-30).join('\n')}`,
    )
  }

  /**
   * Returns all violations: those recorded so far, acknowledged commands that are lost, refused ones that were applied,
   * commands applied twice, and log lines of failed writes or applies.
   */
  listViolations(): string[] {
    const inHistory = new Set(this.history)
    const lost = this.acknowledged.filter((command) => !inHistory.has(command))
    const taken = this.refused.filter((command) => inHistory.has(command))
    const twice = this.history.length - inHistory.size
    const failed = this.logLines.filter((line) => /apply-failed|write-failed/.test(line))
    return [
      ...this.violations,
      ...lost.map((command) => `acknowledged, but lost: ${command}`),
      ...taken.map((command) => `refused, but applied: ${command}`),
      ...(twice > 0 ? [`${twice} applied twice`] : []),
      ...failed,
    ]
  }

  /** Stops all nodes and waits until their tasks have ended. */
  async close(): Promise<void> {
    for (const { raft } of this.running.values()) void raft.stop()
    await this.clock.advance(10_000)
  }

  #getClock(memberId: string): PausableClock {
    const clock = this.#clocks.get(memberId) ?? new PausableClock(this.clock)
    this.#clocks.set(memberId, clock)
    return clock
  }

  async #tryToCommitOnAll(): Promise<boolean> {
    const { leader } = this
    if (leader === undefined) return false
    const outcome = { committed: false }
    const command = `command ${this.#proposed++}`
    const proposed = unwrap(leader.propose(Buffer.from(command))).then(
      () => {
        outcome.committed = true
        this.acknowledged.push(command)
      },
      () => undefined,
    )
    await this.clock.advance(1500)
    void proposed
    const members = leader.describe().members.map(({ memberId }) => memberId)
    const haveAllApplied = members.every((memberId) => {
      const applied = this.running.get(memberId)?.machine.applied.length
      return applied === this.history.length
    })
    return outcome.committed && haveAllApplied
  }

  #checkSingleLeader(term: number, memberId: string): void {
    const known = this.#leaders.get(term)
    if (known !== undefined && known !== memberId) {
      this.violations.push(`term ${term} has two leaders: ${known} and ${memberId}`)
    }
    this.#leaders.set(term, memberId)
  }
}

export function createMember(number: number): Member {
  return {
    memberId: `c${number}`,
    peerAddress: `127.0.0.1:${7000 + number}`,
    dataCentre: `dc${number}`,
  }
}
