/** Runs short requests on upstreams. */
import type { NettlespurError } from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'
import type { ShortAnswer, ShortRequest } from './shortRequest.js'

export abstract class RequestRouter {
  /**
   * Errors that mean it did not run: `contract-lease-expired`, `unknown-workspace`, `over-limit`,
   * `queue-full`, `deadline-before-start`, `cancelled-before-start`, `no-upstream`, `upstream-refused`.
   * `outcome-unknown`: it may have run.
   */
  abstract run(request: ShortRequest): EitherAsync<NettlespurError, ShortAnswer>

  /**
   * Ends every request at once with its honest answer: one that waits did not run, one that was sent may
   * have. For the end of a planned stop that took too long.
   */
  abstract abandonAll(): void
}
