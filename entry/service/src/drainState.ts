/**
 * The phases of a planned stop. While `unready`, the entry reports itself as not ready to the balancer but still accepts
 * work. While `refusing`, it refuses new work and finishes what is in progress.
 */
import { NettlespurError } from '@nettlespur/core.errors'
import { BehaviorSubject } from 'rxjs'

export type DrainPhase = 'serving' | 'unready' | 'refusing'

const retryAfterMs = 100

export class DrainState {
  readonly phase = new BehaviorSubject<DrainPhase>('serving')

  /** Returns the error that `GET /readyz` answers with, or undefined while serving. */
  readinessFault(): NettlespurError | undefined {
    return this.phase.value === 'serving' ? undefined : createDrainingError()
  }

  /** Returns the error for new work, or undefined while it is accepted. */
  refusal(): NettlespurError | undefined {
    return this.phase.value === 'refusing' ? createDrainingError() : undefined
  }
}

function createDrainingError(): NettlespurError {
  return new NettlespurError('draining', 'this entry is stopping', {
    retryAfterMs,
    hint: 'send it again: another entry takes it',
  })
}
