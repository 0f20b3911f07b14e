/**
 * Reads an upstream's answer to one attempt. The answer must belong to this task and state its length. A small
 * answer is collected whole before any of it is passed on. A large one is passed on as a stream, so that
 * memory stays bounded; the stream fails if it ends early.
 */
import { taskHeaders } from '@nettlespur/api.schemas'
import { toNettlespurError, type ErrorKind } from '@nettlespur/core.errors'
import { toAnswerError, type StreamedAnswer } from '@nettlespur/net.client'
import { createLostOutcome } from './lostOutcome.js'
import type { TaskOutcome, TaskRun } from './taskTransport.js'

/** Larger answers are streamed instead of collected. */
const collectedBytesMax = 262_144
const errorBytesMax = 65_536

/** Kinds of errors that an upstream returns only before it runs anything. */
const refusals: ReadonlySet<ErrorKind> = new Set([
  'upstream-refused',
  'fence-too-low',
  'draining',
  'unauthorized',
])

export interface ReadAnswerOptions {
  answerBytesMax: number
  /** Headers that the answer must repeat. */
  expected: readonly ExpectedHeader[]
}

export interface ExpectedHeader {
  readonly name: string
  readonly value: string
  /** Name of the value in the message about a mismatch. */
  readonly what: string
}

/** Returns the headers that the answer to `POST …/run` must repeat. */
export function expectAttempt(task: TaskRun): ExpectedHeader[] {
  return [
    { name: taskHeaders.taskId, value: task.taskId, what: 'task' },
    { name: taskHeaders.attempt, value: String(task.attempt), what: 'attempt' },
  ]
}

/** Returns the headers that an answer collected later must repeat. */
export function expectFence(task: TaskRun): ExpectedHeader[] {
  return [
    { name: taskHeaders.taskId, value: task.taskId, what: 'task' },
    { name: taskHeaders.fence, value: String(task.fence), what: 'fence' },
  ]
}

export async function readAnswer(
  opened: StreamedAnswer,
  opts: ReadAnswerOptions,
): Promise<TaskOutcome> {
  const { status, headers, stream } = opened
  const fault = findFault(opened, opts)
  if (status >= 400 && fault !== undefined) return readError(opened, fault)
  if (fault !== undefined) {
    stream.destroy()
    return createLostOutcome(fault)
  }
  const contentType = headers['content-type']
  const lengthBytes = Number(headers['content-length'])
  if (lengthBytes > collectedBytesMax) {
    return { kind: 'answered', answer: { status, contentType, body: stream, lengthBytes } }
  }
  const body = await collect(opened, lengthBytes)
  if (body instanceof Error) return createLostOutcome(body.message, body)
  return { kind: 'answered', answer: { status, contentType, body, lengthBytes } }
}

async function readError(opened: StreamedAnswer, fault: string): Promise<TaskOutcome> {
  const { status, headers } = opened
  const body = await collect(opened, errorBytesMax)
  if (body instanceof Error) return createLostOutcome(body.message, body)
  const error = toAnswerError({ status, headers, body })
  return refusals.has(error.kind) ? { kind: 'refused', error } : createLostOutcome(fault, error)
}

/** Returns why the answer cannot be the whole answer to this attempt, or undefined if it can. */
function findFault(opened: StreamedAnswer, opts: ReadAnswerOptions): string | undefined {
  const { headers } = opened
  const wrong = opts.expected.find(({ name, value }) => headers[name] !== value)
  if (wrong !== undefined) return `the answer is of another ${wrong.what}`
  const length = headers['content-length']
  if (length === undefined) return 'the answer does not state its whole length'
  if (Number(length) > opts.answerBytesMax) {
    return `the answer is larger than ${opts.answerBytesMax} bytes`
  }
  return undefined
}

/** Reads the whole body. Returns an error if the body is too large or cut short. */
async function collect(opened: StreamedAnswer, bytesMax: number): Promise<Buffer | Error> {
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of opened.stream as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > bytesMax) throw new Error(`the answer is larger than ${bytesMax} bytes`)
      chunks.push(chunk)
    }
  } catch (thrown) {
    return toNettlespurError(thrown)
  }
  if (!opened.stream.complete) return new Error('the answer was cut short')
  return Buffer.concat(chunks)
}
