/** `nettlespur key create [--file FILE]` */
import { writeFileSync } from 'node:fs'
import { createKey, hashKey } from '@nettlespur/net.keys'
import { createCliCommand } from '../cliCommand.js'
import { jsonArg } from '../commonArgs.js'
import { printText } from '../output.js'
import { createUsageError } from '../usageError.js'

const ownerOnly = 0o600

export const keyCreateCommand = createCliCommand({
  name: 'create',
  description: 'Make a random key, and its SHA-256 for a contract',
  args: {
    file: {
      type: 'string',
      description: 'New file for the key, readable by its owner only; printed where absent',
      valueHint: 'FILE',
    },
    json: jsonArg,
  },
  examples: ['nettlespur key create', 'nettlespur key create --file operator.key'],
  run: ({ args }) => {
    const key = createKey()
    if (args.file !== undefined) writeKeyFile(args.file, key)
    const place = args.file === undefined ? { key } : { file: args.file }
    const made = { ...place, sha256: hashKey(key) }
    printText(args.json ? JSON.stringify(made) : formatMade(made))
  },
})

function writeKeyFile(file: string, key: string): void {
  try {
    writeFileSync(file, `${key}\n`, { mode: ownerOnly, flag: 'wx' })
  } catch (cause) {
    throw createUsageError(`--file: ${cause instanceof Error ? cause.message : String(cause)}`)
  }
}

function formatMade(made: Readonly<Record<string, string>>): string {
  return Object.entries(made)
    .map(([name, value]) => `${name} ${value}`)
    .join('\n')
}
