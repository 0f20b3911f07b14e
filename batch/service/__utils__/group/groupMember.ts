/** One machine of a control group: its disk, and the processes that run on it one after the other. */
import type { Member } from '@nettlespur/consensus.raft'
import type { ManualClock } from '@nettlespur/core.clock'
import { unwrap } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import { FileLogStore } from '@nettlespur/storage.log'
import { MemoryFileSystem, lossKinds } from '@nettlespur/storage.log/fakes'
import { BatchNode, type BatchTimings } from '../../src/index.js'
import { DiskState } from './diskState.js'
import { MemberClock } from './memberClock.js'
import { MemberFiles } from './memberFiles.js'
import type { MemberProcess, MemberLinks } from './memberLinks.js'
import { MemberTransport } from './memberTransport.js'
import { UnreachablePort } from './unreachablePort.js'

/** The platform restarts a process that has ended by itself after this time. */
const restartMs = 300
/** How often an instance that is not a member asks to be added. */
const joinEveryMs = 300

/** So small that snapshots are taken and installed often. */
const limits = { snapshotEveryEntries: 40, keepEntries: 10, snapshotChunkBytes: 4096 }

export interface GroupMemberOptions {
  member: Member
  founders: readonly Member[]
  clock: ManualClock
  random: () => number
  links: MemberLinks
  logger: Logger
  timings: BatchTimings
  /** The member to ask for being added. */
  findLeaderId: () => string | undefined
}

interface StartedProcess extends MemberProcess {
  node: BatchNode | undefined
  readonly files: MemberFiles
  /** Resolves when the process is killed. */
  readonly ending: Promise<void>
  readonly end: () => void
}

export class GroupMember {
  readonly disk: DiskState
  /** True once the machine has been replaced: it never starts again. */
  isRemoved = false
  readonly #opts: GroupMemberOptions
  #founders: readonly Member[]
  #files = new MemoryFileSystem()
  #process: StartedProcess | undefined

  constructor(opts: GroupMemberOptions) {
    this.#opts = opts
    this.#founders = opts.founders
    this.disk = new DiskState(opts.clock, opts.random)
  }

  get member(): Member {
    return this.#opts.member
  }

  get isUp(): boolean {
    return this.#process !== undefined
  }

  get isPaused(): boolean {
    return this.#process?.clock.isPaused === true
  }

  /** Undefined while the process is down or starting. */
  get node(): BatchNode | undefined {
    return this.#process?.node
  }

  get process(): MemberProcess | undefined {
    return this.#process
  }

  start(): void {
    if (this.#process !== undefined || this.isRemoved) return
    const { member, clock: groupClock, links, logger } = this.#opts
    const clock = new MemberClock(groupClock)
    const files = new MemberFiles({ files: this.#files, disk: this.disk, clock })
    const { promise: ending, resolve: end } = createPromise()
    const { memberId } = member
    const started: StartedProcess = {
      memberId,
      clock,
      files,
      node: undefined,
      hasEnded: false,
      ending,
      end,
    }
    this.#process = started
    links.processes.set(member.memberId, started)
    this.#open(started).catch((thrown: unknown) => {
      if (started.hasEnded) return
      logger.error({ event: 'process.ended', reason: String(thrown) })
      this.kill()
      groupClock.setTimer(restartMs, () => {
        this.start()
      })
    })
  }

  kill(): void {
    const current = this.#process
    if (current === undefined) return
    current.hasEnded = true
    current.files.end()
    current.end()
    current.clock.pause('freeze')
    this.#process = undefined
    this.#opts.links.processes.delete(current.memberId)
    this.#files = this.#files.kill()
  }

  /** Kills the process; unsynced data is lost, kept in part or torn. */
  losePower(): void {
    this.kill()
    const loss = lossKinds[Math.floor(this.#opts.random() * lossKinds.length)] ?? 'lost'
    this.#files = this.#files.crash(loss)
  }

  loseDisk(): void {
    this.kill()
    this.#files = new MemoryFileSystem()
    this.#founders = []
  }

  /** Transfers leadership and stops the process. Resolves once it has ended, also if it was killed meanwhile. */
  async stop(): Promise<void> {
    const current = this.#process
    if (current === undefined) return
    await Promise.race([current.ending, this.#stopNode(current)])
    if (this.#process === current) this.kill()
  }

  pause(kind: 'freeze' | 'suspend'): void {
    this.#process?.clock.pause(kind)
  }

  resume(): void {
    this.#process?.clock.resume()
  }

  async #open(started: StartedProcess): Promise<void> {
    const { member, links, logger, timings, random } = this.#opts
    const { clock, files } = started
    const store = await FileLogStore.open({
      folder: '/log',
      clock,
      logger,
      files,
      locksFolder: false,
    })
    const node = await BatchNode.open({
      memberId: member.memberId,
      initialMembers: this.#founders,
      clock,
      logger,
      metrics: new MetricsRegistry(),
      store,
      transport: new MemberTransport(links, started),
      port: new UnreachablePort(),
      timings,
      limits,
      random,
    })
    if (started.hasEnded) return
    started.node = node
    void this.#keepMembership(started, node)
  }

  /** Stops the node as the platform's processes do: they end even if a step fails, so the error is only logged. */
  async #stopNode({ node }: StartedProcess): Promise<void> {
    try {
      await node?.raft.transferLeadership()
      await node?.stop()
    } catch (thrown) {
      this.#opts.logger.error({ event: 'control.stop-fault', reason: String(thrown) })
    }
  }

  async #keepMembership(started: StartedProcess, node: BatchNode): Promise<void> {
    const { links, findLeaderId, member } = this.#opts
    for (;;) {
      const leaderId = findLeaderId()
      if (!node.isMember && leaderId !== undefined) {
        const joining = links.call(started, leaderId, (leader) => unwrap(leader.calls.join(member)))
        await joining.catch(() => undefined)
      }
      await started.clock.sleep(joinEveryMs)
    }
  }
}

function createPromise() {
  let resolve: () => void = () => undefined
  const promise = new Promise<void>((settle) => {
    resolve = settle
  })
  return { promise, resolve }
}
