/** Drops the job keys, ended jobs and answers of a workspace that exceed the retention limits, oldest first. */
import type { JobAnswer } from '@nettlespur/api.schemas'
import { endedJobMaxAgeMs, endedJobsMax, keptAnswerBytesMax } from './retention.js'
import type { WorkspaceHistory } from './stateData.js'

export function pruneHistory(history: WorkspaceHistory, timeMs: number): void {
  pruneJobKeys(history, timeMs)
  pruneEndedJobs(history, timeMs)
  pruneAnswers(history)
}

/** Returns the total size of an answer's parts in bytes. */
export function countAnswerBytes(parts: JobAnswer['parts']): number {
  return parts.reduce((sum, part) => sum + Buffer.byteLength(part.body), 0)
}

function pruneJobKeys(history: WorkspaceHistory, timeMs: number): void {
  for (const [jobKey, { endedAt }] of history.endedJobKeys) {
    if (!isExpired(endedAt, timeMs)) return
    history.endedJobKeys.delete(jobKey)
  }
}

function pruneEndedJobs(history: WorkspaceHistory, timeMs: number): void {
  for (const [jobId, { endedAt }] of history.endedJobs) {
    const tooMany = history.endedJobs.size > endedJobsMax
    if (!tooMany && !isExpired(endedAt, timeMs)) return
    history.endedJobs.delete(jobId)
    history.answers.delete(jobId)
  }
}

function pruneAnswers(history: WorkspaceHistory): void {
  const sizes = [...history.answers].map(([id, answer]) => [id, countAnswerBytes(answer.parts)])
  let bytes = sizes.reduce((sum, [, size]) => sum + Number(size), 0)
  for (const [jobId, size] of sizes) {
    if (bytes <= keptAnswerBytesMax) return
    history.answers.delete(String(jobId))
    bytes -= Number(size)
  }
}

function isExpired(endedAt: string | undefined, timeMs: number): boolean {
  return endedAt !== undefined && timeMs - Date.parse(endedAt) > endedJobMaxAgeMs
}
