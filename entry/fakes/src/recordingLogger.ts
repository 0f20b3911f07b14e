/** A logger that records its events for tests. */
import type { LogEvent, Logger } from '@nettlespur/core.logger'

export class RecordingLogger implements Logger {
  readonly events: LogEvent[] = []

  debug(event: LogEvent): void {
    this.events.push(event)
  }

  info(event: LogEvent): void {
    this.events.push(event)
  }

  warn(event: LogEvent): void {
    this.events.push(event)
  }

  error(event: LogEvent): void {
    this.events.push(event)
  }

  named(event: string): LogEvent[] {
    return this.events.filter((logged) => logged.event === event)
  }
}
