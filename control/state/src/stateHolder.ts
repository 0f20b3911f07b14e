/**
 * The present state of one instance and the index it stands at. The log writes it, by commands and by whole
 * snapshots; everything else reads it and waits on `applied`.
 */
import { BehaviorSubject, type Observable } from 'rxjs'
import type { Command } from './command.js'
import type { CommandResult } from './commandResult.js'
import { ControlState } from './controlState.js'
import type { StateSnapshot } from './stateSnapshot.js'

export class StateHolder {
  #state = ControlState.create()
  readonly #applied = new BehaviorSubject(0)

  get state(): ControlState {
    return this.#state
  }

  /** Index of the newest applied command, from now on. */
  get applied(): Observable<number> {
    return this.#applied
  }

  apply(index: number, command: Command): CommandResult {
    const result = this.#state.apply(index, command)
    this.#applied.next(index)
    return result
  }

  /** Replaces the whole state. */
  restore(snapshot: StateSnapshot): void {
    this.#state = ControlState.restore(snapshot)
    this.#applied.next(this.#state.appliedIndex)
  }
}
