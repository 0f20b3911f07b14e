/**
 * A log of one voter: it always leads, and a command is committed once it is synced to its own disk.
 * Commands that wait together share one sync. After a failed sync it takes no more commands, since what is
 * on disk is no longer known.
 */
import type { Command, CommandResult, StateHolder } from '@nettlespur/control.state'
import { NettlespurError, toNettlespurError, tryAsync } from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'
import { BehaviorSubject } from 'rxjs'
import { LogFile } from './logFile.js'
import { logRecordSchema, type LogRecord } from './logRecord.js'
import { ReplicatedLog, type Leadership, type LogDescription } from './replicatedLog.js'

const onlyTerm = 1

export interface SingleNodeLogOptions {
  memberId: string
  peerAddress: string
  dataCentre: string
  /** Where the file lies; it is made where it is missing. */
  dataFolder: string
  /** What committed commands are applied to; starts out empty. */
  holder: StateHolder
}

interface Proposal {
  readonly command: Command
  readonly resolve: (result: CommandResult) => void
  readonly reject: (error: NettlespurError) => void
}

export class SingleNodeLog extends ReplicatedLog {
  readonly leadership: BehaviorSubject<Leadership>
  readonly #opts: SingleNodeLogOptions
  readonly #file: LogFile
  #waiting: Proposal[] = []
  #writing: Promise<void> | undefined
  #closed: NettlespurError | undefined
  #stopped: Promise<void> | undefined

  private constructor(opts: SingleNodeLogOptions, file: LogFile) {
    super()
    this.#opts = opts
    this.#file = file
    this.leadership = new BehaviorSubject<Leadership>({
      isLeader: true,
      leaderId: opts.memberId,
      leaderAddress: opts.peerAddress,
      term: onlyTerm,
    })
  }

  /** Replays the file into the holder. Errors: rejects with `storage-damaged`. */
  static async open(opts: SingleNodeLogOptions): Promise<SingleNodeLog> {
    const { file, contents } = await LogFile.open(opts.dataFolder)
    try {
      for (const content of contents) {
        applyRecord(opts.holder, readRecord(content))
      }
    } catch (cause) {
      await file.close()
      throw cause
    }
    return new SingleNodeLog(opts, file)
  }

  propose(command: Command): EitherAsync<NettlespurError, CommandResult> {
    return tryAsync(
      () =>
        new Promise<CommandResult>((resolve, reject) => {
          if (this.#closed !== undefined) {
            reject(this.#closed)
            return
          }
          this.#waiting.push({ command, resolve, reject })
          this.#writing ??= this.#writeWaiting()
        }),
    )
  }

  readBarrier(): EitherAsync<NettlespurError, void> {
    return tryAsync(() => {
      if (this.#closed !== undefined) return Promise.reject(this.#closed)
      return Promise.resolve()
    })
  }

  describe(): LogDescription {
    const { memberId, peerAddress, dataCentre, holder } = this.#opts
    const role = 'leader' as const
    return {
      term: onlyTerm,
      commitIndex: holder.state.appliedIndex,
      members: [{ memberId, peerAddress, dataCentre, role, lagEntries: 0, silentMs: 0 }],
    }
  }

  stop(): Promise<void> {
    this.#stopped ??= this.#stop()
    return this.#stopped
  }

  async #stop(): Promise<void> {
    this.#close(new NettlespurError('draining', 'this control instance is stopping'))
    await this.#writing
    await this.#file.close()
  }

  async #writeWaiting(): Promise<void> {
    while (this.#waiting.length > 0) {
      const batch = this.#waiting
      this.#waiting = []
      await this.#commit(batch)
    }
    this.#writing = undefined
  }

  async #commit(batch: readonly Proposal[]): Promise<void> {
    const { holder } = this.#opts
    const first = holder.state.appliedIndex + 1
    const record: LogRecord = {
      firstIndex: first,
      commands: batch.map((proposal) => proposal.command),
    }
    try {
      await this.#file.append(Buffer.from(JSON.stringify(record)))
    } catch (thrown) {
      this.#refuse(batch, toNettlespurError(thrown))
      return
    }
    for (const [offset, proposal] of batch.entries()) {
      proposal.resolve(holder.apply(first + offset, proposal.command))
    }
  }

  #refuse(batch: readonly Proposal[], error: NettlespurError): void {
    if (error.kind !== 'disk-full') {
      this.#close(error)
      this.leadership.next({ isLeader: false, term: onlyTerm })
    }
    for (const proposal of batch) proposal.reject(error)
  }

  #close(error: NettlespurError): void {
    this.#closed ??= error
  }
}

function applyRecord(holder: StateHolder, { firstIndex, commands }: LogRecord): void {
  for (const [offset, command] of commands.entries()) holder.apply(firstIndex + offset, command)
}

function readRecord(content: Buffer): LogRecord {
  const parsed = logRecordSchema.safeParse(JSON.parse(content.toString('utf8')))
  if (parsed.success) return parsed.data
  throw new NettlespurError('storage-damaged', `a record cannot be read: ${parsed.error.message}`)
}
