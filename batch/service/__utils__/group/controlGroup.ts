/** A control group of five members on one manual clock, and a caller that submits jobs at a fixed interval. */
import { createJob } from '@nettlespur/batch.samples'
import type { Member } from '@nettlespur/consensus.raft'
import { createSeededRandom } from '@nettlespur/consensus.raft/fakes'
import { ManualClock } from '@nettlespur/core.clock'
import type { Logger, LogEvent } from '@nettlespur/core.logger'
import type { BatchNode, BatchTimings } from '../../src/index.js'
import { createFleetConfig } from '../createFleetConfig.js'
import { GroupMember } from './groupMember.js'
import { MemberLinks } from './memberLinks.js'

/** That of the platform's processes. */
export const platformElectionTimeoutMs = 500
/** With which the seeds that tests keep were found. */
export const keptElectionTimeoutMs = 700

function createTimings(electionTimeoutMs: number): BatchTimings {
  return {
    raft: { heartbeatMs: 150, electionTimeoutMs, replaceVoterAfterMs: 2500, requestGapMs: 20 },
    session: { leaseMs: 9500, holdWaitMs: 2000 },
    announceEveryMs: 1500,
    keepEndedMs: 1_000_000,
  }
}
const foundersCount = 3
const membersCount = 5
const dataCentres = 3
const bootstrapMs = 12_000
const submitEveryMs = 200
/** After the faults have ended; fewer jobs let more schedules be simulated in the same time. */
const recoverySubmitEveryMs = 1500

export class ControlGroup {
  readonly clock = new ManualClock(new Date('2026-01-01T00:00:00Z'))
  readonly random: () => number
  readonly timings: BatchTimings
  readonly links: MemberLinks
  readonly members: GroupMember[] = []
  /** Ids of the jobs that were accepted. */
  readonly acceptedJobIds: string[] = []
  /** Descriptions of what the group should have done and did not. */
  readonly violations: string[] = []
  readonly trace: string[] = []
  #submittedJobs = 0
  #submitEveryMs = submitEveryMs
  #isSubmitting = true

  constructor(seed: number, electionTimeoutMs: number) {
    this.random = createSeededRandom(seed)
    this.timings = createTimings(electionTimeoutMs)
    this.links = new MemberLinks(this.clock, this.random, electionTimeoutMs / 2)
  }

  /** Starts a group and waits until its five members vote and have a configuration. */
  static async bootstrap(
    seed: number,
    electionTimeoutMs = keptElectionTimeoutMs,
  ): Promise<ControlGroup> {
    const group = new ControlGroup(seed, electionTimeoutMs)
    const founders = Array.from({ length: foundersCount }, (_, at) => createMember(at + 1))
    for (let number = 1; number <= membersCount; number++) {
      group.addMember(number <= foundersCount ? founders : [])
    }
    await group.clock.advance(bootstrapMs)
    void group.leader?.node?.calls.applyConfig(createFleetConfig()).run()
    void group.#submitForever()
    await group.clock.advance(1000)
    return group
  }

  /** Starts a member with an empty disk under the next number. */
  addMember(founders: readonly Member[] = []): void {
    const member = createMember(this.members.length + 1)
    const { clock, random, links } = this
    const added = new GroupMember({
      member,
      founders,
      clock,
      random,
      links,
      logger: this.#createLogger(member.memberId),
      timings: this.timings,
      findLeaderId: () => this.leader?.member.memberId,
    })
    this.members.push(added)
    added.start()
  }

  /** The member that leads in the highest term. */
  get leader(): GroupMember | undefined {
    return this.members
      .filter(({ node, isPaused }) => !isPaused && node?.raft.describe().role === 'leader')
      .sort((left, right) => termOf(right.node) - termOf(left.node))[0]
  }

  /** Members whose process is running. */
  get liveMembers(): GroupMember[] {
    return this.members.filter(({ isUp }) => isUp)
  }

  describe(): string {
    return this.members
      .map(({ member, node, isUp, isPaused, disk }) => {
        const { members, ...rest } = node?.raft.describe() ?? { members: [] }
        const roles = members.map(({ memberId, role }) => `${memberId}=${role}`).join()
        const state = `up=${isUp} paused=${isPaused} stalled=${disk.isStalled}`
        return `${member.memberId}: ${state} ${JSON.stringify(rest)} ${roles}`
      })
      .join('\n')
  }

  /** Submits jobs at a longer interval from now on. */
  submitLessOften(): void {
    this.#submitEveryMs = recoverySubmitEveryMs
  }

  stopSubmitting(): void {
    this.#isSubmitting = false
  }

  createJobCall(jobId: string) {
    return { host: 'host', path: `/queue0/${jobId}`, jobId }
  }

  note(line: string): void {
    this.trace.push(`${Math.round(this.clock.monotonicMs())} ${line}`)
  }

  async #submitForever(): Promise<void> {
    while (this.#isSubmitting) {
      void this.#submit()
      await this.clock.sleep(this.#submitEveryMs)
    }
  }

  async #submit(): Promise<void> {
    const { leader } = this
    const leaderProcess = leader?.process
    if (leaderProcess?.node === undefined) return
    const jobId = `j${this.#submittedJobs++}`
    const request = createJob(jobId, {})
    const outcome = await leaderProcess.node.calls
      .submitJob({ ...this.createJobCall(jobId), request })
      .run()
    if (outcome.isRight() && !leaderProcess.hasEnded && !leaderProcess.clock.isPaused)
      this.acceptedJobIds.push(jobId)
  }

  #createLogger(memberId: string): Logger {
    const write = ({ event, ...fields }: LogEvent): void => {
      if (event === 'job.submitted') return
      this.note(`${memberId} ${event} ${JSON.stringify(fields)}`)
    }
    return { debug: write, info: write, warn: write, error: write }
  }
}

function createMember(number: number): Member {
  const peerAddress = `10.0.0.${number}:7000`
  return { memberId: `c${number}`, peerAddress, dataCentre: `dc${number % dataCentres}` }
}

function termOf(node: BatchNode | undefined): number {
  return node?.raft.describe().term ?? 0
}
