/** How busy the event loop of a process is, and with what kinds of work. */
export { LoopWatch, type LoopWatchOptions } from './loopWatch.js'
export { measureWork, type MeasureWorkOptions, type WorkKind } from './measureWork.js'
export { watchGarbageCollection } from './watchGarbageCollection.js'
