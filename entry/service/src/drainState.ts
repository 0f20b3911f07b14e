/**
 * How far a planned stop has come. First the balancer is told, while work is still taken; then new work is
 * refused while what is in progress ends.
 */
import { NettlespurError } from '@nettlespur/core.errors'
import { BehaviorSubject } from 'rxjs'

export type DrainPhase = 'serving' | 'unready' | 'refusing'

const retryAfterMs = 100

export class DrainState {
  readonly phase = new BehaviorSubject<DrainPhase>('serving')

  /** The error that `GET /readyz` answers; undefined while serving. */
  readinessFault(): NettlespurError | undefined {
    return this.phase.value === 'serving' ? undefined : createDrainingError()
  }

  /** The error new work gets; undefined while it is taken. */
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
