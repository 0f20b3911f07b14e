/** The command line that every daemon has: `NAME --settings FILE`, until a signal stops it. */
import { parseArgs } from 'node:util'
import { NettlespurError, toNettlespurError, unwrap } from '@nettlespur/core.errors'
import { stopOnSignals, type LifecycleManager } from '@nettlespur/core.lifecycle'
import { readSettingsFile } from '@nettlespur/settings.reader'
import { EitherAsync } from 'purify-ts'
import type { z } from 'zod'

export interface RunDaemonOptions<T> {
  /** Name of the program. */
  name: string
  /** One sentence for its help. */
  purpose: string
  schema: z.ZodType<T>
  /** Settings with their paths taken from the folder of the settings file. */
  resolvePaths: (settings: T, settingsFile: string) => T
  start: (settings: T) => Promise<{ readonly lifecycle: LifecycleManager }>
}

/** Runs until a signal stops it; a failure to start sets the exit code of its kind. */
export async function runDaemon<T>(
  args: readonly string[],
  opts: RunDaemonOptions<T>,
): Promise<void> {
  try {
    const { settings: file, help } = readArguments(args, opts)
    if (help) {
      process.stdout.write(formatUsage(opts))
      return
    }
    const starting = opts.start(await readDaemonSettings(file, opts))
    stopOnSignals(starting.then(({ lifecycle }) => lifecycle))
    await starting
  } catch (thrown) {
    const error = toNettlespurError(thrown)
    process.stderr.write(`${opts.name}: ${error.code}: ${error.message}\n`)
    if (error.hint !== undefined) process.stderr.write(`${error.hint}\n`)
    process.exitCode = error.answer.exitCode
  }
}

/** Errors: rejects with `malformed-yaml` or `invalid-settings`, naming every fault by path and line. */
export async function readDaemonSettings<T>(
  file: string,
  opts: Pick<RunDaemonOptions<T>, 'schema' | 'resolvePaths'>,
): Promise<T> {
  const settings = readSettingsFile({ file, schema: opts.schema })
  return opts.resolvePaths(await unwrap(EitherAsync.liftEither(settings)), file)
}

type Usage = Pick<RunDaemonOptions<unknown>, 'name' | 'purpose'>

function formatUsage({ name, purpose }: Usage): string {
  return `Usage: ${name} --settings FILE

${purpose}
SIGTERM or SIGINT begins a planned stop; a second one ends the process.
Check a settings file with: nettlespur settings check FILE
`
}

function readArguments(args: readonly string[], usage: Usage): { settings: string; help: boolean } {
  const options = { settings: { type: 'string' }, help: { type: 'boolean', short: 'h' } } as const
  const { settings, help } = parseArguments(
    () => parseArgs({ args: [...args], options }).values,
    usage,
  )
  if (help === true) return { settings: '', help }
  if (settings === undefined) throw createUsageError('--settings FILE is missing', usage)
  return { settings, help: false }
}

function parseArguments<T>(parse: () => T, usage: Usage): T {
  try {
    return parse()
  } catch (cause) {
    throw createUsageError(cause instanceof Error ? cause.message : String(cause), usage)
  }
}

function createUsageError(message: string, usage: Usage): NettlespurError {
  return new NettlespurError('invalid-usage', message, { hint: formatUsage(usage) })
}
