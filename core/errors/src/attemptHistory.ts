/**
 * What the failed attempts of one call say together. An attempt that got no answer may have been executed, or may yet be,
 * whatever a later attempt is told: the later answer may come from another leader, under a newer configuration.
 */
import { NettlespurError } from './nettlespurError.js'

export class AttemptHistory {
  #mayHaveRun = false

  /** Whether an attempt so far may have been executed. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun
  }

  /** Records the error of one attempt. */
  record(error: NettlespurError): void {
    this.#mayHaveRun ||= error.answer.ran === 'unknown'
  }

  /**
   * Returns the error to report for the whole call: `last`, unless it says that nothing has run while an earlier attempt may
   * have; then `outcome-unknown`. `last` is recorded already.
   */
  summarize(last: NettlespurError): NettlespurError {
    if (!this.#mayHaveRun || last.answer.ran !== 'no') return last
    return new NettlespurError('outcome-unknown', last.message, { cause: last })
  }
}
