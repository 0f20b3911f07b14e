/** Checks a command line against its command's arguments, since citty passes over what it does not know. */
import { parseArgs } from 'node:util'
import { findNearestName } from '@nettlespur/settings.reader'
import type { ArgDef, ArgsDef } from 'citty'
import type { FoundCommand } from './findCommand.js'
import { createUsageError } from './usageError.js'

type Tokens = NonNullable<ReturnType<typeof parseTokens>['tokens']>

/** Errors: throws `invalid-usage`. */
export function checkArguments(found: FoundCommand): void {
  const args = (found.command.args ?? {}) as ArgsDef
  const hint = `see ${found.path.join(' ')} --help`
  const { tokens } = parseTokens(args, found.rawArgs)
  checkOptions(args, tokens, hint)
  checkPositionals(args, tokens, hint)
}

function parseTokens(args: ArgsDef, rawArgs: readonly string[]) {
  const options = Object.fromEntries(
    Object.entries(args)
      .filter(([, arg]) => arg.type !== 'positional')
      .map(
        ([name, arg]) => [name, { type: arg.type === 'boolean' ? 'boolean' : 'string' }] as const,
      ),
  )
  const config = { args: [...rawArgs], options, strict: false, allowPositionals: true }
  return parseArgs({ ...config, tokens: true })
}

function checkOptions(args: ArgsDef, tokens: Tokens, hint: string): void {
  const seen = new Set<string>()
  for (const token of tokens) {
    if (token.kind !== 'option') continue
    const arg = Object.hasOwn(args, token.name) ? args[token.name] : undefined
    if (arg === undefined || arg.type === 'positional') {
      throw createUnknownOptionError(args, token.rawName, hint)
    }
    if (seen.has(token.name)) throw createUsageError(`${token.rawName} is given twice`, hint)
    seen.add(token.name)
    checkValue(arg, token, hint)
  }
  for (const [name, arg] of Object.entries(args)) {
    if (arg.type === 'positional' || arg.required !== true || seen.has(name)) continue
    throw createUsageError(`--${name} is missing`, hint)
  }
}

function checkValue(
  arg: ArgDef,
  token: Extract<Tokens[number], { kind: 'option' }>,
  hint: string,
): void {
  const { rawName, value, inlineValue } = token
  if (arg.type === 'boolean') {
    if (value !== undefined) throw createUsageError(`${rawName} takes no value`, hint)
    return
  }
  if (value === undefined || value === '') throw createUsageError(`${rawName} needs a value`, hint)
  if (!inlineValue && value.startsWith('-')) {
    throw createUsageError(
      `${rawName} needs a value; one that starts with "-" is written ${rawName}=${value}`,
      hint,
    )
  }
  const options = arg.type === 'enum' ? (arg.options ?? []) : [value]
  if (!options.includes(value)) {
    const allowed = options.join(', ')
    throw createUsageError(`${rawName} must be one of ${allowed}, given "${value}"`, hint)
  }
}

function createUnknownOptionError(args: ArgsDef, rawName: string, hint: string) {
  const known = Object.entries(args)
    .filter(([, arg]) => arg.type !== 'positional')
    .map(([name]) => `--${name}`)
  const nearest = findNearestName(rawName, known)
  const guess = nearest === undefined ? '' : `, did you mean ${nearest}?`
  return createUsageError(
    `unknown option ${rawName}${guess}`,
    `options: ${known.join(', ')}; ${hint}`,
  )
}

function checkPositionals(args: ArgsDef, tokens: Tokens, hint: string): void {
  const names = Object.entries(args)
    .filter(([, arg]) => arg.type === 'positional')
    .map(([name]) => name)
  const given = tokens.flatMap((token) => (token.kind === 'positional' ? [token.value] : []))
  const missing = names[given.length]
  if (missing !== undefined) throw createUsageError(`${missing.toUpperCase()} is missing`, hint)
  const [extra] = given.slice(names.length)
  if (extra !== undefined) throw createUsageError(`unexpected argument "${extra}"`, hint)
}
