/** The command `nettlespur-control --settings FILE`. */
import { resolveInstancePaths, runDaemon } from '@nettlespur/daemons.common'
import { resolvePath } from '@nettlespur/settings.reader'
import { controlSettingsSchema, type ControlSettings } from '@nettlespur/settings.schemas'
import { startControl } from './startControl.js'

export function main(args: readonly string[]): Promise<void> {
  return runDaemon(args, {
    name: 'nettlespur-control',
    purpose:
      'Runs one control instance: the agreed state of the cluster and the placement of gangs.',
    schema: controlSettingsSchema,
    resolvePaths,
    start: (settings) => startControl(settings),
  })
}

function resolvePaths(settings: ControlSettings, settingsFile: string): ControlSettings {
  const dataFolder = resolvePath(settingsFile, settings.dataFolder)
  return { ...resolveInstancePaths(settings, settingsFile), dataFolder }
}
