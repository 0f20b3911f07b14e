/** The durable log of one instance: segments, term and vote, snapshots, disk identity. */
export {
  LogStore,
  type HardState,
  type LogEntry,
  type Snapshot,
  type SnapshotMeta,
} from './logStore.js'
