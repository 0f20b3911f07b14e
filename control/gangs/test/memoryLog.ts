/** A log that commits at once, in memory. A test can make commits fail or cut the log off from its quorum. */
import { ReplicatedLog, type Leadership, type LogDescription } from '@nettlespur/control.log'
import type { Command, CommandResult, StateHolder } from '@nettlespur/control.state'
import { NettlespurError, tryAsync } from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'
import { BehaviorSubject } from 'rxjs'

export class MemoryLog extends ReplicatedLog {
  readonly leadership = new BehaviorSubject<Leadership>({ isLeader: true, term: 1 })
  readonly committed: Command[] = []
  /** Runs before each commit; may throw. */
  beforeCommit: (command: Command) => void = () => undefined
  /** While true, commits and read barriers fail with `no-quorum`. */
  cutOff = false
  readonly #holder: StateHolder

  constructor(holder: StateHolder) {
    super()
    this.#holder = holder
  }

  propose(command: Command): EitherAsync<NettlespurError, CommandResult> {
    return tryAsync(() => {
      if (this.cutOff) throw new NettlespurError('no-quorum', 'cut off')
      this.beforeCommit(command)
      this.committed.push(command)
      return Promise.resolve(this.#holder.apply(this.#holder.state.appliedIndex + 1, command))
    })
  }

  readBarrier(): EitherAsync<NettlespurError, void> {
    return tryAsync(() => {
      if (this.cutOff) throw new NettlespurError('no-quorum', 'cut off')
      return Promise.resolve()
    })
  }

  describe(): LogDescription {
    return { term: 1, commitIndex: this.#holder.state.appliedIndex, members: [] }
  }

  stop(): Promise<void> {
    return Promise.resolve()
  }
}
