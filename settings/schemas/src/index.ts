/** Schemas and defaults of every settings file. */
export {
  batchControlSettingsSchema,
  batchEntrySettingsSchema,
  type BatchControlSettings,
  type BatchEntrySettings,
} from './batchSettings.js'
export type { TlsSettings } from './commonSettings.js'
export {
  controlSettingsSchema,
  type ControlSettings,
  type ControlTimings,
} from './controlSettings.js'
export { entrySettingsSchema, type EntrySettings } from './entrySettings.js'
export { upstreamSettingsSchema, type UpstreamSettings } from './upstreamSettings.js'
