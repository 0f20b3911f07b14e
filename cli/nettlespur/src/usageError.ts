/** The error of a wrong command line. */
import { NettlespurError } from '@nettlespur/core.errors'

export function createUsageError(message: string, hint?: string): NettlespurError {
  return new NettlespurError('invalid-usage', message, { hint })
}
