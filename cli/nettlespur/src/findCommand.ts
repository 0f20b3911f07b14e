/** Follows the words of a command line to the command they name. */
import { findNearestName } from '@nettlespur/settings.reader'
import type { AnyCommand } from './cliCommand.js'
import { createUsageError } from './usageError.js'

export interface FoundCommand {
  readonly command: AnyCommand
  /** The words that lead to it, such as `nettlespur contract apply`. */
  readonly path: readonly string[]
  /** What follows them. */
  readonly rawArgs: readonly string[]
}

/** Errors: throws `invalid-usage` for a word that is no command. */
export function findCommand(root: AnyCommand, argv: readonly string[]): FoundCommand {
  let found: FoundCommand = { command: root, path: [root.name], rawArgs: argv }
  for (;;) {
    const { commands } = found.command
    const [word, ...rest] = found.rawArgs
    if (commands === undefined || word === '--help' || word === '-h') return found
    found = {
      command: pick(found, commands, word),
      path: [...found.path, word ?? ''],
      rawArgs: rest,
    }
  }
}

function pick(
  parent: FoundCommand,
  commands: Readonly<Record<string, AnyCommand>>,
  word: string | undefined,
): AnyCommand {
  const path = parent.path.join(' ')
  const known = Object.keys(commands)
  const hint = `commands of ${path}: ${known.join(', ')}; see ${path} --help`
  if (word === undefined) throw createUsageError(`${path} needs a command`, hint)
  if (word.startsWith('-')) {
    throw createUsageError(`option ${word} stands before the command; options follow it`, hint)
  }
  const command = Object.hasOwn(commands, word) ? commands[word] : undefined
  if (command !== undefined) return command
  const nearest = findNearestName(word, known)
  const guess = nearest === undefined ? '' : `, did you mean "${nearest}"?`
  throw createUsageError(`unknown command "${path} ${word}"${guess}`, hint)
}
