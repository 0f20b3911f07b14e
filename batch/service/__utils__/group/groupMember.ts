/** One machine of a group: its disk, and the lives of the process on it. */
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
import type { MemberLife, MemberLinks } from './memberLinks.js'
import { MemberTransport } from './memberTransport.js'
import { SilentPort } from './silentPort.js'

/** As the platform does with a process that has ended by itself. */
const restartMs = 300
/** How often an instance that is no member asks to be added. */
const askEveryMs = 300

/** So small that snapshots are taken and installed all the time. */
const limits = { snapshotEveryEntries: 40, keepEntries: 10, snapshotChunkBytes: 4096 }

export interface GroupMemberOptions {
  member: Member
  founders: readonly Member[]
  clock: ManualClock
  random: () => number
  links: MemberLinks
  logger: Logger
  timings: BatchTimings
  /** Where to ask for being added. */
  findLeaderId: () => string | undefined
}

interface Life extends MemberLife {
  node: BatchNode | undefined
  readonly files: MemberFiles
  /** Resolves when the process is killed. */
  readonly ending: Promise<void>
  readonly end: () => void
}

export class GroupMember {
  readonly disk: DiskState
  /** It never comes back. */
  isRemoved = false
  readonly #opts: GroupMemberOptions
  #founders: readonly Member[]
  #files = new MemoryFileSystem()
  #life: Life | undefined

  constructor(opts: GroupMemberOptions) {
    this.#opts = opts
    this.#founders = opts.founders
    this.disk = new DiskState(opts.clock, opts.random)
  }

  get member(): Member {
    return this.#opts.member
  }

  get isUp(): boolean {
    return this.#life !== undefined
  }

  get isPaused(): boolean {
    return this.#life?.clock.isPaused === true
  }

  /** Undefined while the process is down or about to start. */
  get node(): BatchNode | undefined {
    return this.#life?.node
  }

  get life(): MemberLife | undefined {
    return this.#life
  }

  start(): void {
    if (this.#life !== undefined || this.isRemoved) return
    const { member, clock: world, links, logger } = this.#opts
    const clock = new MemberClock(world)
    const files = new MemberFiles({ files: this.#files, disk: this.disk, clock })
    const { promise: ending, resolve: end } = createPromise()
    const { memberId } = member
    const life: Life = { memberId, clock, files, node: undefined, hasEnded: false, ending, end }
    this.#life = life
    links.lives.set(member.memberId, life)
    this.#open(life).catch((thrown: unknown) => {
      if (life.hasEnded) return
      logger.error({ event: 'process.ended', reason: String(thrown) })
      this.kill()
      world.setTimer(restartMs, () => {
        this.start()
      })
    })
  }

  kill(): void {
    const life = this.#life
    if (life === undefined) return
    life.hasEnded = true
    life.files.end()
    life.end()
    life.clock.pause('freeze')
    this.#life = undefined
    this.#opts.links.lives.delete(life.memberId)
    this.#files = this.#files.kill()
  }

  /** What was not synced is lost, in part or torn. */
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

  /** Hands the leadership over first. Resolves once the process has ended, however it did. */
  async stop(): Promise<void> {
    const life = this.#life
    if (life === undefined) return
    await Promise.race([life.ending, stopNode(life)])
    if (this.#life === life) this.kill()
  }

  pause(kind: 'freeze' | 'suspend'): void {
    this.#life?.clock.pause(kind)
  }

  resume(): void {
    this.#life?.clock.resume()
  }

  async #open(life: Life): Promise<void> {
    const { member, links, logger, timings, random } = this.#opts
    const { clock, files } = life
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
      transport: new MemberTransport(links, life),
      port: new SilentPort(),
      timings,
      limits,
      random,
    })
    if (life.hasEnded) return
    life.node = node
    void this.#keepMembership(life, node)
  }

  async #keepMembership(life: Life, node: BatchNode): Promise<void> {
    const { links, findLeaderId, member } = this.#opts
    for (;;) {
      const leaderId = findLeaderId()
      if (!node.isMember && leaderId !== undefined) {
        const joining = links.call(life, leaderId, (leader) => unwrap(leader.calls.join(member)))
        await joining.catch(() => undefined)
      }
      await life.clock.sleep(askEveryMs)
    }
  }
}

async function stopNode({ node }: Life): Promise<void> {
  await node?.raft.transferLeadership()
  await node?.stop()
}

function createPromise() {
  let resolve: () => void = () => undefined
  const promise = new Promise<void>((settle) => {
    resolve = settle
  })
  return { promise, resolve }
}
