/** `nettlespur-upstream --settings FILE`: starts the daemon and ties it to the process's signals. */
import { parseArgs } from 'node:util'
import { exitCodes, NettlespurError } from '@nettlespur/core.errors'
import { stopOnSignals } from '@nettlespur/core.lifecycle'
import { EitherAsync, Left, Right, type Either } from 'purify-ts'
import { readUpstreamSettings } from './readUpstreamSettings.js'
import { startUpstreamDaemon } from './startUpstreamDaemon.js'

const usage = `usage: nettlespur-upstream --settings FILE

Runs one stand-in upstream, a small worker for trials and tests.
`

export async function main(args: string[]): Promise<void> {
  if (args.includes('--help')) {
    process.stdout.write(usage)
    return
  }
  const started = await EitherAsync.liftEither(readSettingsFile(args))
    .chain((file) => EitherAsync.liftEither(readUpstreamSettings(file)))
    .chain(startUpstreamDaemon)
    .run()
  started.caseOf({
    Left: fail,
    Right: ({ lifecycle }) => {
      stopOnSignals(lifecycle)
    },
  })
}

function readSettingsFile(args: string[]): Either<NettlespurError, string> {
  try {
    const { values } = parseArgs({ args, options: { settings: { type: 'string' } } })
    if (values.settings !== undefined) return Right(values.settings)
  } catch (cause) {
    return Left(new NettlespurError('invalid-usage', `${String(cause)}\n${usage}`))
  }
  return Left(new NettlespurError('invalid-usage', usage))
}

function fail(error: NettlespurError): void {
  process.stderr.write(`${error.message}\n`)
  process.exitCode = error.kind === 'internal' ? exitCodes.refused : exitCodes.usage
}
