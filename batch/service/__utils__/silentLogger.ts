/** A logger that discards its lines, for tests that check none. */
import type { Logger } from '@nettlespur/core.logger'

export const silentLogger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore }

function ignore(): void {
  // Discards the line.
}
