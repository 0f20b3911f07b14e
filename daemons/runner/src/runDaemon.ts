/**
 * Runs one daemon from its command line: `NAME --settings FILE`. It runs until a signal stops it; a
 * failure to start sets the exit code of its kind.
 */
import { exitCodes, toNettlespurError } from '@nettlespur/core.errors'
import { stopOnSignals, type LifecycleManager } from '@nettlespur/core.lifecycle'
import { defineCommand, runCommand, runMain } from 'citty'

export interface RunDaemonOptions {
  /** The name of the program, such as `nettlespur-entry`. */
  name: string
  description: string
  rawArgs: string[]
  /** Starts it from its settings file. */
  start: (settingsFile: string) => Promise<{ readonly lifecycle: LifecycleManager }>
}

export async function runDaemon(opts: RunDaemonOptions): Promise<void> {
  const { name, description, rawArgs } = opts
  const settings = { required: true, description: 'YAML file with the settings' } as const
  const command = defineCommand({
    meta: { name, description },
    args: { settings: { ...settings, type: 'string' } },
    run: ({ args }) => startAndReport(opts, args.settings),
  })
  if (rawArgs.includes('--help') || rawArgs.includes('-h')) return runMain(command, { rawArgs })
  try {
    await runCommand(command, { rawArgs })
  } catch (thrown) {
    fail(name, `${toNettlespurError(thrown).message} (see ${name} --help)`, exitCodes.usage)
  }
}

async function startAndReport(opts: RunDaemonOptions, settingsFile: string): Promise<void> {
  try {
    const running = await opts.start(settingsFile)
    stopOnSignals(running.lifecycle)
  } catch (thrown) {
    const error = toNettlespurError(thrown)
    const hint = error.hint === undefined ? '' : ` (${error.hint})`
    fail(opts.name, error.message + hint, error.answer.exitCode)
  }
}

function fail(name: string, message: string, exitCode: number): void {
  process.stderr.write(`${name}: ${message}\n`)
  process.exitCode = exitCode
}
