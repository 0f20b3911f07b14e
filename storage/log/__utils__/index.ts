/** A fake file system, a model of the store and helpers for tests of the log store. */
export {
  MemoryFileSystem,
  lossKinds,
  type FaultInjector,
  type LossKind,
} from './memoryFileSystem.js'
export {
  throwFileSystemError,
  folder,
  openStore,
  readAll,
  silentLogger,
  toEntry,
} from './storeHelpers.js'
export {
  emptyState,
  holdsState,
  planCommand,
  stepsArbitrary,
  toSnapshot,
  type Step,
  type StoreState,
} from './storeModel.js'
