/** What one process spends in a window of time. */
import type { Clock } from '@nettlespur/core.clock'
import { readFileSync } from 'node:fs'
import { readUsage } from '../readUsage.js'

const millisecondsPerSecond = 1000
const mebibyte = 1_048_576

export interface Rates {
  readonly cpuMsPerSecond: number
  /** Bytes read and written by system calls: sockets both ways, log lines and files. */
  readonly bytesPerSecond: number
  readonly residentMebibytes: number
}

export type RatesByRole = Readonly<Record<string, Rates>>

/** Watches the processes of these roles for `windowMs`. */
export async function measureRates(
  clock: Clock,
  pids: Readonly<Record<string, number>>,
  windowMs: number,
): Promise<RatesByRole> {
  const before = readAll(pids)
  const startMs = clock.monotonicMs()
  await clock.sleep(windowMs)
  const seconds = (clock.monotonicMs() - startMs) / millisecondsPerSecond
  const after = readAll(pids)
  const rates: Record<string, Rates> = {}
  for (const [role, end] of Object.entries(after)) {
    const start = before[role] ?? end
    rates[role] = {
      cpuMsPerSecond: (end.cpuMs - start.cpuMs) / seconds,
      bytesPerSecond: (end.bytes - start.bytes) / seconds,
      residentMebibytes: end.residentBytes / mebibyte,
    }
  }
  return rates
}

function readAll(pids: Readonly<Record<string, number>>) {
  const read = Object.entries(pids).map(([role, pid]) => {
    return [role, { ...readUsage(pid), bytes: readBytes(pid) }] as const
  })
  return Object.fromEntries(read)
}

function readBytes(pid: number): number {
  const io = readFileSync(`/proc/${pid}/io`, 'utf8')
  return Number(/rchar: (\d+)/.exec(io)?.[1]) + Number(/wchar: (\d+)/.exec(io)?.[1])
}
