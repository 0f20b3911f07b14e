/** Logs ended gangs. Limits the lines about cancelled gangs per window and counts the rest in one line. */
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'

const windowMs = 1000
/** Cancelled gangs that are logged individually in one window. */
const cancelledLinesMax = 20

export interface EndedGang {
  readonly jobId: string
  readonly fence: number
  readonly type: string
  readonly state: string
  readonly reason: string
}

export class EndedGangLog {
  readonly #clock: Clock
  readonly #logger: Logger
  #lines = 0
  #unlogged = 0
  #windowIsOpen = false

  constructor(clock: Clock, logger: Logger) {
    this.#clock = clock
    this.#logger = logger
  }

  logEnd(gang: EndedGang): void {
    if (gang.state === 'cancelled' && !this.#tryTakeLine()) {
      this.#unlogged += 1
      return
    }
    this.#logger.info({ event: 'gang.ended', ...gang })
  }

  #tryTakeLine(): boolean {
    if (!this.#windowIsOpen) {
      this.#windowIsOpen = true
      this.#clock.setTimer(windowMs, () => {
        this.#closeWindow()
      })
    }
    this.#lines += 1
    return this.#lines <= cancelledLinesMax
  }

  #closeWindow(): void {
    const gangs = this.#unlogged
    if (gangs > 0) this.#logger.info({ event: 'gang.cancelled-wave', gangs, windowMs })
    this.#lines = 0
    this.#unlogged = 0
    this.#windowIsOpen = false
  }
}
