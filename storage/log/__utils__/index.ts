/** Fakes for tests of the store. */
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
