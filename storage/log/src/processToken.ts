/**
 * A token that identifies one process even after its process id is reused: process id, start time and boot id.
 * If the machine does not provide start time and boot id, the token rests on the process id alone.
 */
import { readFile } from 'node:fs/promises'

const startTimeField = 19

export async function readProcessToken(pid = process.pid): Promise<string> {
  const startTicks = await readStartTicks(pid)
  const boot = await readBoot()
  return `${pid}-${startTicks}-${boot}`
}

export async function isProcessAlive(token: string): Promise<boolean> {
  const pid = Number(token.split('-', 1)[0])
  if (!Number.isSafeInteger(pid) || pid <= 0 || !isPidRunning(pid)) return false
  return (await readProcessToken(pid)) === token
}

/** Splits the fields after the command name only, which is in parentheses and may contain spaces. */
async function readStartTicks(pid: number): Promise<string> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8').catch(() => '')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return fields[startTimeField] ?? '0'
}

async function readBoot(): Promise<string> {
  const id = await readFile('/proc/sys/kernel/random/boot_id', 'utf8').catch(() => '0')
  return id.trim().replaceAll('-', '')
}

function isPidRunning(pid: number): boolean {
  try {
    process.kill(pid, 0)
    return true
  } catch (error) {
    return (error as NodeJS.ErrnoException).code === 'EPERM'
  }
}
