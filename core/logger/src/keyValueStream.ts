/** Turns bunyan records into key=value lines. Values with blanks, quotes or line ends are JSON-quoted. */
import { Writable } from 'node:stream'
import bunyan from 'bunyan'
import type { LogEvent } from './logEvent.js'

/** The keys of a line's head. */
const headKeys = new Set(['time', 'level', 'process', 'instanceId', 'event'])
const plainValue = /^[^\s"=\\]+$/

export class KeyValueStream extends Writable {
  readonly #writeLine: (line: string) => void

  constructor(writeLine: (line: string) => void) {
    super({ objectMode: true })
    this.#writeLine = writeLine
  }

  override write(record: unknown): boolean {
    this.#writeLine(formatRecord(record as Record<string, unknown>))
    return true
  }
}

/** The event's fields are a value of their own in the record, so that none of them can stand in the head. */
export function formatRecord(record: Record<string, unknown>): string {
  const time = record.time instanceof Date ? record.time.toISOString() : String(record.time)
  const { event, ...fields } = record.logged as LogEvent
  const head = [
    `time=${time}`,
    `level=${bunyan.nameFromLevel[record.level as number] ?? 'info'}`,
    `process=${formatValue(record.name)}`,
    `instanceId=${formatValue(record.instanceId)}`,
    `event=${formatValue(event)}`,
  ]
  const rest = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${formatKey(key)}=${formatValue(value)}`)
  return [...head, ...rest].join(' ') + '\n'
}

/** A field with the key of a part of the head stays apart from it. */
function formatKey(key: string): string {
  return headKeys.has(key) ? `field.${key}` : key
}

function formatValue(value: unknown): string {
  const text = Array.isArray(value) ? value.join(',') : String(value)
  return plainValue.test(text) ? text : JSON.stringify(text)
}
