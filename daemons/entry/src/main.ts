/** The command `nettlespur-entry --settings FILE`. */
import { resolveInstancePaths, runDaemon } from '@nettlespur/daemons.common'
import { entrySettingsSchema } from '@nettlespur/settings.schemas'
import { startEntry } from './startEntry.js'

export function main(args: readonly string[]): Promise<void> {
  return runDaemon(args, {
    name: 'nettlespur-entry',
    purpose: 'Runs one entry: the HTTP API for callers, operators and upstreams.',
    schema: entrySettingsSchema,
    resolvePaths: resolveInstancePaths,
    start: (settings) => startEntry(settings),
  })
}
