/** Turns bunyan records into key=value lines. Values with blanks, quotes or line ends are JSON-quoted. */
import { Writable } from 'node:stream'
import bunyan from 'bunyan'

const recordFields = new Set([
  'v',
  'level',
  'name',
  'hostname',
  'pid',
  'time',
  'msg',
  'event',
  'instanceId',
])
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

export function formatRecord(record: Record<string, unknown>): string {
  const time = record.time instanceof Date ? record.time.toISOString() : String(record.time)
  const head = [
    `time=${time}`,
    `level=${bunyan.nameFromLevel[record.level as number] ?? 'info'}`,
    `process=${formatValue(record.name)}`,
    `instanceId=${formatValue(record.instanceId)}`,
    `event=${formatValue(record.event)}`,
  ]
  const fields = Object.entries(record)
    .filter(([key, value]) => !recordFields.has(key) && value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`)
  return [...head, ...fields].join(' ') + '\n'
}

function formatValue(value: unknown): string {
  const text = Array.isArray(value) ? value.join(',') : String(value)
  return plainValue.test(text) ? text : JSON.stringify(text)
}
