/** Runs short requests on upstreams. */
import type { NettlespurError } from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'
import type { ShortAnswer, ShortRequest } from './shortRequest.js'

export abstract class RequestRouter {
  /**
   * Runs the request. Errors that mean it did not run: `contract-lease-expired`, `unknown-workspace`, `over-limit`,
   * `queue-full`, `deadline-before-start`, `cancelled-before-start`, `no-upstream`, `upstream-refused`.
   * `outcome-unknown`: it may have run.
   */
  abstract run(request: ShortRequest): EitherAsync<NettlespurError, ShortAnswer>

  /**
   * Ends every request at once: a waiting one with an error that says it did not run, one that was sent with
   * an error that says it may have run. For a planned stop whose drain took too long.
   */
  abstract abandonAll(): void
}
