/**
 * One key=value line per event, written through bunyan. An event has a dotted name and typed fields;
 * there are no free-form messages.
 */
import bunyan from 'bunyan'
import { KeyValueStream } from './keyValueStream.js'

export const logLevels = ['debug', 'info', 'warn', 'error'] as const
export type LogLevel = (typeof logLevels)[number]

/** What one field of a log event may hold. */
export type LogValue = string | number | boolean | null | undefined | readonly (string | number)[]

/** A log event: its dotted name and its fields. */
export interface LogEvent {
  readonly event: string
  readonly [field: string]: LogValue
}

export interface Logger {
  debug(event: LogEvent): void
  info(event: LogEvent): void
  warn(event: LogEvent): void
  error(event: LogEvent): void
}

export interface CreateLoggerOptions {
  /** The process kind, such as `entry`. */
  name: string
  instanceId: string
  level?: LogLevel
  /** Where lines go; standard error by default. */
  write?: (line: string) => void
}

export function createLogger(opts: CreateLoggerOptions): Logger {
  const write = opts.write ?? ((line: string) => void process.stderr.write(line))
  const target = bunyan.createLogger({
    name: opts.name,
    instanceId: opts.instanceId,
    streams: [{ type: 'raw', level: opts.level ?? 'info', stream: new KeyValueStream(write) }],
  })
  return {
    debug: (event) => {
      target.debug(event)
    },
    info: (event) => {
      target.info(event)
    },
    warn: (event) => {
      target.warn(event)
    },
    error: (event) => {
      target.error(event)
    },
  }
}
