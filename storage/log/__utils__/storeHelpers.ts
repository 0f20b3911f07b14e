/** Helpers that open a store on a fake file system, create entries and read them back. */
import { ManualClock } from '@nettlespur/core.clock'
import type { LogEvent, Logger } from '@nettlespur/core.logger'
import {
  FileLogStore,
  type FileLogStoreOptions,
  type FileSystem,
  type LogEntry,
  type LogStore,
} from '../src/index.js'

export const folder = '/data/store'

export function openStore(
  files: FileSystem,
  opts: Partial<FileLogStoreOptions> = {},
): Promise<FileLogStore> {
  return FileLogStore.open({
    folder,
    clock: new ManualClock(),
    logger: silentLogger(),
    files,
    ...opts,
  })
}

/** Creates a logger that prints nothing and collects its events in `events`. */
export function silentLogger(events: LogEvent[] = []): Logger {
  const keep = (event: LogEvent) => {
    events.push(event)
  }
  return { debug: keep, info: keep, warn: keep, error: keep }
}

export function toEntry(index: number, term = 1, text = `entry ${index}`): LogEntry {
  return { index, term, payload: Buffer.from(text) }
}

export async function readAll(store: LogStore): Promise<LogEntry[]> {
  return store.read(store.firstIndex, Number.MAX_SAFE_INTEGER)
}

/** Throws an error with a `code`, as `node:fs` does. */
export function throwFileSystemError(code: string): never {
  throw Object.assign(new Error(`${code}: injected`), { code })
}
