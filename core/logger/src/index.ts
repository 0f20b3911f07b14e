/** Typed log events, written by bunyan as key=value lines. */
export { createLogger, logLevels } from './logger.js'
export type { CreateLoggerOptions, Logger, LogEvent, LogLevel, LogValue } from './logger.js'
export { BoundedWriter, type BoundedWriterOptions } from './boundedWriter.js'
