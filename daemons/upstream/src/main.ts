/** `nettlespur-upstream --settings FILE`: starts the daemon and ties it to the process's signals. */
import { parseArgs } from 'node:util'
import { NettlespurError } from '@nettlespur/core.errors'
import { stopOnSignals } from '@nettlespur/core.lifecycle'
import { readSettingsFile, resolvePath } from '@nettlespur/settings.reader'
import { upstreamSettingsSchema, type UpstreamSettings } from '@nettlespur/settings.schemas'
import { EitherAsync, Left, Right, type Either } from 'purify-ts'
import { startUpstreamDaemon } from './startUpstreamDaemon.js'

const usage = `usage: nettlespur-upstream --settings FILE

Runs one stand-in upstream, a small worker for trials and tests.
SIGTERM or SIGINT begins a planned stop; a second one ends the process.
`

/** Runs until a signal stops it; a failure to start sets the exit code of its kind. */
export async function main(args: string[]): Promise<void> {
  if (args.includes('--help')) {
    process.stdout.write(usage)
    return
  }
  const started = await EitherAsync.liftEither(findSettingsFile(args).chain(readSettings))
    .chain(startUpstreamDaemon)
    .run()
  started.caseOf({
    Left: fail,
    Right: ({ lifecycle }) => {
      stopOnSignals(lifecycle)
    },
  })
}

function findSettingsFile(args: string[]): Either<NettlespurError, string> {
  try {
    const { values } = parseArgs({ args, options: { settings: { type: 'string' } } })
    if (values.settings !== undefined) return Right(values.settings)
  } catch (cause) {
    return Left(new NettlespurError('invalid-usage', `${String(cause)}\n${usage}`))
  }
  return Left(new NettlespurError('invalid-usage', usage))
}

function readSettings(file: string): Either<NettlespurError, UpstreamSettings> {
  return readSettingsFile({ file, schema: upstreamSettingsSchema }).map((settings) => {
    const { keyFile } = settings
    return keyFile === undefined ? settings : { ...settings, keyFile: resolvePath(file, keyFile) }
  })
}

function fail(error: NettlespurError): void {
  process.stderr.write(`nettlespur-upstream: ${error.code}: ${error.message}\n`)
  process.exitCode = error.answer.exitCode
}
