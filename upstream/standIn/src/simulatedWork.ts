/**
 * What a task of the stand-in does: its payload read leniently as JSON. A payload in any other form is
 * echoed at once.
 */
import { z } from 'zod'

const longestScriptBytes = 65_536
const largestAnswerBytes = 268_435_456

const simulatedWorkSchema = z.object({
  /** At full processor share. */
  runTimeMs: z.number().nonnegative().catch(0),
  /** The whole answer, in place of the echo. */
  answer: z.string().optional().catch(undefined),
  /** Makes the task fail with this text at its end. */
  fail: z.string().optional().catch(undefined),
  /** Makes the answer this long. */
  answerBytes: z.int().nonnegative().max(largestAnswerBytes).optional().catch(undefined),
  /** The task goes on after a stop until it is ended by force. */
  ignoreStop: z.boolean().catch(false),
  checkpointMs: z.number().nonnegative().catch(0),
})
export type SimulatedWork = z.infer<typeof simulatedWorkSchema>

export function readSimulatedWork(payload: Buffer): SimulatedWork {
  const parsed = simulatedWorkSchema.safeParse(parseScript(payload))
  return parsed.success ? parsed.data : simulatedWorkSchema.parse({})
}

/** The answer the work asks for; `echo` where it asks for none. */
export function createAnswer(work: SimulatedWork, echo: Buffer): Buffer {
  if (work.answerBytes !== undefined) return Buffer.alloc(work.answerBytes, 'x')
  return work.answer === undefined ? echo : Buffer.from(work.answer)
}

function parseScript(payload: Buffer): unknown {
  if (payload.length > longestScriptBytes) return undefined
  try {
    return JSON.parse(payload.toString('utf8'))
  } catch {
    return undefined
  }
}
