/** One job for people. */
import type { JobView } from '@nettlespur/api.schemas'

export function formatJob(job: JobView): string {
  const lines = [
    `job ${job.jobId} of ${job.workspace}: ${job.state}`,
    `  reason     ${job.reason}`,
    `  gang       ${job.gang.accelerators} accelerators, adjacency ${job.gang.adjacency}`,
    `  attempts   ${job.attempts}`,
    `  submitted  ${job.submittedAt}`,
  ]
  if (job.startedAt !== undefined) lines.push(`  started    ${job.startedAt}`)
  if (job.endedAt !== undefined) lines.push(`  ended      ${job.endedAt}`)
  for (const member of job.placement?.members ?? []) {
    const indexes = member.acceleratorIndexes.join(',')
    lines.push(`  on         ${member.upstreamId} accelerators ${indexes}`)
  }
  return lines.join('\n')
}
