/** Processor time and resident memory of a process, as the kernel counts them. */
import { readFileSync } from 'node:fs'

/** The kernel's unit of processor time in `/proc/PID/stat`, in milliseconds. */
const tickMs = 10
const bytesPerKibibyte = 1024
/** Of the fields after the command's closing parenthesis. */
const userTimeField = 11
const systemTimeField = 12

export interface Usage {
  /** Processor time since the process began, in milliseconds. */
  readonly cpuMs: number
  readonly residentBytes: number
}

/** Errors: throws where there is no such process. */
export function readUsage(pid: number): Usage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[userTimeField]) + Number(fields[systemTimeField])
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  const residentKibibytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1])
  return { cpuMs: ticks * tickMs, residentBytes: residentKibibytes * bytesPerKibibyte }
}
