/** Durable storage of one instance: log segments, term and vote, snapshots, disk identity. */
export { FileLogStore, type FileLogStoreOptions } from './fileLogStore.js'
export { FileSystem, OpenFile } from './fileSystem.js'
export {
  LogStore,
  type HardState,
  type LogEntry,
  type Snapshot,
  type SnapshotMeta,
} from './logStore.js'
export { NodeFileSystem } from './nodeFileSystem.js'
export { readSmallFile, writeSmallFile } from './smallFile.js'
