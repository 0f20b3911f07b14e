/** The replicated log over Raft: commands committed by the voters are applied to the control state. */
import {
  RaftNode,
  type Member,
  type RaftLimits,
  type RaftOptions,
  type RaftTimings,
  type RaftTransport,
  type LeadershipState,
} from '@nettlespur/consensus.raft'
import type { Command, CommandResult, StateHolder } from '@nettlespur/control.state'
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import type { LogStore } from '@nettlespur/storage.log'
import { EitherAsync, Left } from 'purify-ts'
import { BehaviorSubject, filter, firstValueFrom } from 'rxjs'
import { ControlMachine, encodeCommand } from './controlMachine.js'
import type { RaftReceiver } from './createRaftRouter.js'
import {
  ReplicatedLog,
  type Leadership,
  type LogDescription,
  type LogMember,
} from './replicatedLog.js'

export interface RaftLogOptions {
  memberId: string
  /** The initial voters. An instance that is not one of them waits to be added as a member. */
  initialMembers: readonly Member[]
  clock: Clock
  logger: Logger
  /** Owned by the log, which closes it on stop or when opening fails. */
  store: LogStore
  transport: RaftTransport
  /** The state to which committed commands are applied; must be empty at first. */
  holder: StateHolder
  timings: RaftTimings
  limits?: Partial<RaftLimits>
  random?: () => number
}

/** Error kinds that reads of a sole voter return until its first entry is written to disk. */
const transientErrorKinds = new Set(['no-quorum', 'not-leader'])

export class RaftLog extends ReplicatedLog {
  readonly leadership: BehaviorSubject<Leadership>
  /** Handles the messages of the other members; pass it to `createRaftRouter`. */
  readonly receiver: RaftReceiver
  readonly #node: RaftNode<CommandResult>
  readonly #store: LogStore
  #stopped: Promise<void> | undefined

  private constructor(node: RaftNode<CommandResult>, store: LogStore) {
    super()
    this.#node = node
    this.#store = store
    this.receiver = node
    this.leadership = new BehaviorSubject<Leadership>({ isLeader: false, term: 0 })
    node.leadership.subscribe((standing) => {
      this.leadership.next(this.#toLeadership(standing))
    })
  }

  /**
   * Opens the log from its store. If this instance is the sole voter, resolves only once it leads and has
   * applied everything it committed before. Errors: rejects with `storage-damaged`.
   */
  static async open(opts: RaftLogOptions): Promise<RaftLog> {
    const { holder, store, ...rest } = opts
    const node = await openNode(store, { ...rest, store, machine: new ControlMachine(holder) })
    const log = new RaftLog(node, store)
    const { members } = node.describe()
    if (members.length === 1 && members[0]?.memberId === opts.memberId) await log.#awaitLeadership()
    return log
  }

  propose(command: Command): EitherAsync<NettlespurError, CommandResult> {
    if (this.#stopped !== undefined) return refuse('draining', 'this control instance is stopping')
    return this.#node.propose(encodeCommand(command))
  }

  readBarrier(): EitherAsync<NettlespurError, void> {
    if (this.#stopped !== undefined) return refuse('draining', 'this control instance is stopping')
    return this.#node.readBarrier()
  }

  describe(): LogDescription {
    const { term, commitIndex, snapshotAgeMs, members } = this.#node.describe()
    return {
      term,
      commitIndex,
      snapshotAgeMs,
      members: members.map(({ memberId, peerAddress, dataCentre, role, lagEntries, silentMs }) => ({
        memberId,
        peerAddress,
        dataCentre,
        role,
        lagEntries,
        silentMs,
      })),
    }
  }

  override addMember(member: LogMember): EitherAsync<NettlespurError, void> {
    return this.#node.addMember(member)
  }

  override removeMember(memberId: string): EitherAsync<NettlespurError, void> {
    return this.#node.removeMember(memberId)
  }

  override async transferLeadership(): Promise<void> {
    await this.#node.transferLeadership()
  }

  stop(): Promise<void> {
    this.#stopped ??= this.#stop()
    return this.#stopped
  }

  async #stop(): Promise<void> {
    await this.#node.stop()
    await this.#store.close()
  }

  /**
   * Waits until this sole voter leads and can serve reads. There is no time limit, however slow the disk is:
   * a start that failed here would leave the process running without serving.
   */
  async #awaitLeadership(): Promise<void> {
    for (;;) {
      await firstValueFrom(this.leadership.pipe(filter(({ isLeader }) => isLeader)))
      const ready = await this.#node.readBarrier().run()
      const error = ready.swap().toMaybe().extract()
      if (error === undefined) return
      if (!transientErrorKinds.has(error.kind)) throw error
    }
  }

  #toLeadership({ role, term, leaderId }: LeadershipState): Leadership {
    const leader = this.#node.describe().members.find(({ memberId }) => memberId === leaderId)
    return { isLeader: role === 'leader', term, leaderId, leaderAddress: leader?.peerAddress }
  }
}

async function openNode(
  store: LogStore,
  opts: RaftOptions<CommandResult>,
): Promise<RaftNode<CommandResult>> {
  try {
    return await RaftNode.open(opts)
  } catch (cause) {
    await store.close()
    throw cause
  }
}

function refuse(kind: 'draining', message: string): EitherAsync<NettlespurError, never> {
  return EitherAsync.liftEither(Left(new NettlespurError(kind, message)))
}
