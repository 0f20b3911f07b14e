/** Lists the jobs that may have runs to stop after a command was applied. */
import type { Command } from '@nettlespur/batch.state'

export function listAffectedJobs(command: Command): ReadonlySet<string> {
  if (command.type === 'cancel-job') return new Set([command.jobId])
  if (command.type === 'end-runs') return new Set(command.ends.map(({ jobId }) => jobId))
  if (command.type === 'settle-silences') return new Set(command.runs.map(({ jobId }) => jobId))
  return new Set()
}
