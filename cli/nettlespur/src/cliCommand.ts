/** A command of the command line: citty's definition, with examples for its help. */
import { defineCommand, type ArgsDef, type CommandDef } from 'citty'

// Commands of any arguments stand in one tree; citty itself types its subcommands in this way.
// eslint-disable-next-line @typescript-eslint/no-explicit-any
export type AnyCommand = CommandDef<any> & CommandExtras

export interface CommandExtras {
  readonly name: string
  readonly examples: readonly string[]
  readonly commands?: Readonly<Record<string, AnyCommand>>
}

export interface CliCommandOptions<T extends ArgsDef> {
  name: string
  description: string
  args: T
  /** Whole command lines. */
  examples: readonly string[]
  run: NonNullable<CommandDef<T>['run']>
}

export function createCliCommand<const T extends ArgsDef>(
  opts: CliCommandOptions<T>,
): CommandDef<T> & CommandExtras {
  const { name, description, args, examples, run } = opts
  return { ...defineCommand({ meta: { name, description }, args, run }), name, examples }
}

export interface CommandGroupOptions {
  name: string
  description: string
  commands: Readonly<Record<string, AnyCommand>>
  examples: readonly string[]
}

/** A command that only holds others. */
export function createCommandGroup(opts: CommandGroupOptions): AnyCommand {
  const { name, description, commands, examples } = opts
  return { meta: { name, description }, subCommands: { ...commands }, name, examples, commands }
}
