/** `npm run bench [-- --only NAME]`: runs the benches one after the other and prints their figures. */
import { parseArgs } from 'node:util'
import { benches } from './benches.js'
import type { Bench } from './bench.js'
import { formatRow } from './formatRow.js'
import { pickBenches } from './pickBenches.js'

const usageExitCode = 2

export interface MainOptions {
  benches?: readonly Bench[]
  print?: (line: string) => void
  printError?: (line: string) => void
}

/** Resolves with the exit code: 0, 1 where a bench failed, 2 for a wrong argument. */
export async function main(argv: readonly string[], opts: MainOptions = {}): Promise<number> {
  const print = opts.print ?? printLine
  const printError = opts.printError ?? printErrorLine
  const known = opts.benches ?? benches
  const only = readOnly(argv)
  const picked = only === undefined ? undefined : pickBenches(known, only)
  if (picked === undefined) {
    printError(`usage: bench [--only NAME]; benches: ${known.map(({ name }) => name).join(' ')}`)
    return usageExitCode
  }
  let exitCode = 0
  for (const bench of picked) {
    try {
      const measure = await bench.load()
      for (const row of await measure()) print(formatRow(row))
    } catch (cause) {
      printError(`bench ${bench.name} failed: ${String(cause)}`)
      exitCode = 1
    }
  }
  return exitCode
}

/** The names asked for, none for all; undefined where the arguments are wrong. */
function readOnly(argv: readonly string[]): readonly string[] | undefined {
  try {
    const options = { only: { type: 'string', multiple: true } } as const
    return parseArgs({ args: [...argv], options, strict: true }).values.only ?? []
  } catch {
    return undefined
  }
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`)
}

function printErrorLine(line: string): void {
  process.stderr.write(`${line}\n`)
}
