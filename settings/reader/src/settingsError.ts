/** The error of a YAML file, with all its faults in the order of their lines. */
import { NettlespurError } from '@nettlespur/core.errors'
import { formatFault, type SettingsFault } from './settingsFault.js'

export class SettingsError extends NettlespurError {
  readonly file: string
  readonly faults: readonly SettingsFault[]

  constructor(
    kind: 'malformed-yaml' | 'invalid-settings',
    file: string,
    faults: readonly SettingsFault[],
  ) {
    super(kind, faults.map((fault) => formatFault(file, fault)).join('\n'))
    this.name = 'SettingsError'
    this.file = file
    this.faults = faults
  }
}
