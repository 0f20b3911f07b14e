/** Typed log events, written by bunyan as key=value lines. */
export { createLogger, logLevels } from './logger.js'
export type { CreateLoggerOptions, Logger, LogLevel } from './logger.js'
export type { LogEvent, LogValue } from './logEvent.js'
export { BoundedWriter, type BoundedWriterOptions } from './boundedWriter.js'
