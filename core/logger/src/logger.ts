/**
 * One key=value line per event, written through bunyan. An event has a dotted name and typed fields;
 * there are no free-form messages.
 */
import bunyan from 'bunyan'
import { KeyValueStream } from './keyValueStream.js'
import type { LogEvent } from './logEvent.js'

export const logLevels = ['debug', 'info', 'warn', 'error'] as const
export type LogLevel = (typeof logLevels)[number]

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
      target.debug({ logged: event })
    },
    info: (event) => {
      target.info({ logged: event })
    },
    warn: (event) => {
      target.warn({ logged: event })
    },
    error: (event) => {
      target.error({ logged: event })
    },
  }
}
