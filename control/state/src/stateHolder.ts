/**
 * Holds the current state of one instance. Only the replicated log writes it, by applying commands and
 * restoring snapshots; all other code reads it and waits for changes through `applied`.
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

  /** Emits the current applied index on subscription, then the new index after each command or restore. */
  get applied(): Observable<number> {
    return this.#applied
  }

  /** Emits the job in the result of each applied command. Restoring a snapshot emits nothing. */
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
