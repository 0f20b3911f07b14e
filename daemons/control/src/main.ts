/** The command line of the control daemon. */
import { exitCodes, toNettlespurError } from '@nettlespur/core.errors'
import { stopOnSignals } from '@nettlespur/core.lifecycle'
import { defineCommand, runMain } from 'citty'
import { readControlSettings } from './readControlSettings.js'
import { startControl } from './startControl.js'

const command = defineCommand({
  meta: { name: 'nettlespur-control', description: 'Runs one control instance of nettlespur' },
  args: {
    settings: { type: 'string', required: true, description: 'YAML file with the settings' },
  },
  run: ({ args }) => runDaemon(args.settings),
})

export function main(rawArgs: string[]): Promise<void> {
  return runMain(command, { rawArgs })
}

async function runDaemon(file: string): Promise<void> {
  try {
    const running = await startControl(await readControlSettings(file))
    stopOnSignals(running.lifecycle)
  } catch (thrown) {
    const error = toNettlespurError(thrown)
    const hint = error.hint === undefined ? '' : ` (${error.hint})`
    process.stderr.write(`nettlespur-control: ${error.message}${hint}\n`)
    process.exitCode = error.answer.exitCode === 0 ? exitCodes.refused : error.answer.exitCode
  }
}
