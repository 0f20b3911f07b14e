/**
 * The present state of one instance and the index it stands at. The log writes it, by commands and by whole
 * snapshots; everything else reads it and waits on `applied`.
 */
import { BehaviorSubject, Subject, type Observable } from 'rxjs'
import type { Command } from './command.js'
import type { CommandResult } from './commandResult.js'
import { ControlState } from './controlState.js'
import type { JobRecord } from './jobRecord.js'
import type { StateSnapshot } from './stateSnapshot.js'

export class StateHolder {
  #state = ControlState.create()
  readonly #applied = new BehaviorSubject(0)
  readonly #jobChanges = new Subject<JobRecord>()

  get state(): ControlState {
    return this.#state
  }

  /** Index of the newest applied command, from now on. */
  get applied(): Observable<number> {
    return this.#applied
  }

  /** Each job that a command has changed; a restored snapshot tells of none. */
  get jobChanges(): Observable<JobRecord> {
    return this.#jobChanges
  }

  apply(index: number, command: Command): CommandResult {
    const result = this.#state.apply(index, command)
    this.#applied.next(index)
    if (result.type === 'job') this.#jobChanges.next(result.job)
    return result
  }

  /** Replaces the whole state. */
  restore(snapshot: StateSnapshot): void {
    this.#state = ControlState.restore(snapshot)
    this.#applied.next(this.#state.appliedIndex)
  }
}
