/** The answer of a job for people: the bare text of a single part, else each part under its task. */
import type { JobAnswer } from '@nettlespur/api.schemas'

export function formatAnswer(answer: JobAnswer): string {
  const [only, ...others] = answer.parts
  if (only !== undefined && others.length === 0) return only.body
  return answer.parts
    .map(({ taskId, upstreamId, body }) => `# task ${taskId} on ${upstreamId}\n${body}`)
    .join('\n')
}
