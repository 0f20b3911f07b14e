/** For tests to which lines are of no interest. */
import type { Logger } from '@nettlespur/core.logger'

export const silentLogger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore }

function ignore(): void {
  // Nothing is written.
}
