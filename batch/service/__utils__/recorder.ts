/** A logger that keeps its lines from the level info on, and a metrics registry. */
import type { LogEvent, Logger } from '@nettlespur/core.logger'
import { MetricsRegistry } from '@nettlespur/core.metrics'

export interface Recorder {
  readonly logger: Logger
  readonly metrics: MetricsRegistry
  /** The lines logged so far with this event. */
  readonly findEvents: (event: string) => LogEvent[]
}

export function createRecorder(): Recorder {
  const events: LogEvent[] = []
  const keep = (event: LogEvent): void => {
    events.push(event)
  }
  const logger = { debug: () => undefined, info: keep, warn: keep, error: keep }
  const findEvents = (event: string): LogEvent[] =>
    events.filter((logged) => logged.event === event)
  return { logger, metrics: new MetricsRegistry(), findEvents }
}
