/** Finds the command, checks its arguments, runs it, and turns its outcome into an exit code. */
import { exitCodes, toNettlespurError } from '@nettlespur/core.errors'
import { runCommand } from 'citty'
import { checkArguments } from './checkArguments.js'
import { findCommand, type FoundCommand } from './findCommand.js'
import { mainCommand, version } from './mainCommand.js'
import { printError, printText } from './output.js'
import { renderHelp } from './renderHelp.js'

const helpFlags: ReadonlySet<string> = new Set(['--help', '-h'])

/** The exit code. `argv` is without the program's own name. */
export async function main(argv: readonly string[]): Promise<number> {
  try {
    await run(argv)
    return exitCodes.done
  } catch (thrown) {
    const error = toNettlespurError(thrown)
    printError(error, { json: argv.includes('--json') })
    return error.answer.exitCode
  }
}

async function run(argv: readonly string[]): Promise<void> {
  if (argv.length === 1 && argv[0] === '--version') {
    printText(version)
    return
  }
  const found = findCommand(mainCommand, argv)
  if (isHelpAsked(found)) {
    printText(await renderHelp(found))
    return
  }
  checkArguments(found)
  await runCommand(found.command, { rawArgs: [...found.rawArgs] })
}

function isHelpAsked({ rawArgs }: FoundCommand): boolean {
  const end = rawArgs.indexOf('--')
  const flags = end === -1 ? rawArgs : rawArgs.slice(0, end)
  return flags.some((arg) => helpFlags.has(arg))
}
