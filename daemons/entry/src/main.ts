/** The command `nettlespur-entry --settings FILE`. */
import { parseArgs } from 'node:util'
import { exitCodes, NettlespurError, toNettlespurError } from '@nettlespur/core.errors'
import { stopOnSignals } from '@nettlespur/core.lifecycle'
import { readEntrySettings } from './readEntrySettings.js'
import { startEntry } from './startEntry.js'

const usage = `Usage: nettlespur-entry --settings FILE

Runs one entry: the HTTP API for callers, operators and upstreams.
SIGTERM or SIGINT begins a planned stop; a second one ends the process.
`

/** Runs until a signal stops it; a failure to start sets the exit code of its kind. */
export async function main(args: readonly string[]): Promise<void> {
  try {
    const { settings, help } = readArguments(args)
    if (help) {
      process.stdout.write(usage)
      return
    }
    const entry = await startEntry(readEntrySettings(settings))
    stopOnSignals(entry.lifecycle)
  } catch (thrown) {
    const error = toNettlespurError(thrown)
    process.stderr.write(`nettlespur-entry: ${error.code}: ${error.message}\n`)
    if (error.hint !== undefined) process.stderr.write(`${error.hint}\n`)
    process.exitCode = error.answer.exitCode
  }
}

function readArguments(args: readonly string[]): { settings: string; help: boolean } {
  const options = { settings: { type: 'string' }, help: { type: 'boolean' } } as const
  const { values } = parseArguments(args, options)
  const help = values.help === true
  if (values.settings === undefined && !help) throw createUsageError('--settings FILE is missing')
  return { settings: values.settings ?? '', help }
}

function parseArguments<T extends NonNullable<Parameters<typeof parseArgs>[0]>['options']>(
  args: readonly string[],
  options: T,
) {
  try {
    return parseArgs({ args: [...args], options, strict: true })
  } catch (cause) {
    throw createUsageError(cause instanceof Error ? cause.message : String(cause))
  }
}

function createUsageError(message: string): NettlespurError {
  return new NettlespurError('invalid-usage', message, {
    hint: `${usage}Exit code ${exitCodes.usage}: usage or settings.`,
  })
}
