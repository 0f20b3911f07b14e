/** The help of one command: citty's usage text, then examples. */
import { stripVTControlCharacters } from 'node:util'
import { renderUsage } from 'citty'
import type { FoundCommand } from './findCommand.js'

/** Coloured only on a terminal. */
export async function renderHelp(found: FoundCommand): Promise<string> {
  const parent = found.path.slice(0, -1).join(' ')
  const usage = await renderUsage(
    found.command,
    parent === '' ? undefined : { meta: { name: parent } },
  )
  const examples = found.command.examples.map((example) => `  ${example}`).join('\n')
  const text = `${usage}\n\nEXAMPLES\n\n${examples}`
  return process.stdout.isTTY ? text : stripVTControlCharacters(text)
}
