/** A sleep that its owner can end early, without the cost of an abort signal for each one. */
import type { Clock } from './clock.js'

export interface Sleep {
  /** Resolves when the time is over, or at the first call of `end`. Never rejects. */
  readonly ended: Promise<void>
  readonly end: () => void
}

export function startSleep(clock: Pick<Clock, 'setTimer'>, durationMs: number): Sleep {
  let end = (): void => undefined
  const ended = new Promise<void>((resolve) => {
    const timer = clock.setTimer(durationMs, resolve)
    end = () => {
      timer.cancel()
      resolve()
    }
  })
  return { ended, end }
}
