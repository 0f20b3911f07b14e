/** The command line of the entry daemon. */
import { runDaemon } from '@nettlespur/daemons.runner'
import { readEntrySettings } from './readEntrySettings.js'
import { startEntry } from './startEntry.js'

export function main(rawArgs: string[]): Promise<void> {
  return runDaemon({
    name: 'nettlespur-entry',
    description: 'Runs one entry: the HTTP API for callers, operators and upstreams',
    rawArgs,
    start: (settingsFile) => startEntry(readEntrySettings(settingsFile)),
  })
}
