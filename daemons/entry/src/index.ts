/** The entry daemon: settings in, listening HTTP API out. */
export type { EntryKeys } from './entryFiles.js'
export { main } from './main.js'
export { startEntry, type RunningEntry, type StartEntryOptions } from './startEntry.js'
