/** Reads YAML files and checks them against schemas, naming every fault. */
export {
  detectSettingsKind,
  settingsKinds,
  settingsSchemas,
  type SettingsKind,
} from './detectSettingsKind.js'
export { findNearestName } from './findNearestName.js'
export { SettingsFollower, type SettingsFollowerOptions } from './settingsFollower.js'
export {
  parseSettings,
  readSettingsFile,
  readText,
  type ReadSettingsOptions,
} from './readSettingsFile.js'
export { resolvePath } from './resolvePath.js'
export { SettingsError } from './settingsError.js'
export { formatFault, type SettingsFault } from './settingsFault.js'
