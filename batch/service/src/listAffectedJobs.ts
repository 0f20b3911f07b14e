/** The jobs of which a command may have left runs that are to be stopped. */
import type { Command } from '@nettlespur/batch.state'

export function listAffectedJobs(command: Command): ReadonlySet<string> {
  if (command.type === 'cancel-job') return new Set([command.jobId])
  if (command.type === 'end-runs') return new Set(command.ends.map(({ jobId }) => jobId))
  return new Set()
}
