/** The command `nettlespur-upstream --settings FILE`. */
import { unwrap } from '@nettlespur/core.errors'
import { runDaemon } from '@nettlespur/daemons.common'
import { resolvePath } from '@nettlespur/settings.reader'
import { upstreamSettingsSchema, type UpstreamSettings } from '@nettlespur/settings.schemas'
import { startUpstreamDaemon } from './startUpstreamDaemon.js'

export function main(args: readonly string[]): Promise<void> {
  return runDaemon(args, {
    name: 'nettlespur-upstream',
    purpose: 'Runs one stand-in upstream, a small worker for trials and tests.',
    schema: upstreamSettingsSchema,
    resolvePaths,
    start: (settings) => unwrap(startUpstreamDaemon(settings)),
  })
}

function resolvePaths(settings: UpstreamSettings, settingsFile: string): UpstreamSettings {
  const { keyFile } = settings
  return keyFile === undefined
    ? settings
    : { ...settings, keyFile: resolvePath(settingsFile, keyFile) }
}
