/**
 * Reads an upstream's answer to one attempt. It must be of this task, and state its length. A small one is
 * collected whole before anything of it goes on; a large one is handed on as it comes, so that memory stays
 * bounded, and its stream fails where it ends early.
 */
import { taskHeaders } from '@nettlespur/api.schemas'
import { toNettlespurError, type ErrorKind } from '@nettlespur/core.errors'
import { toAnswerError, type StreamedAnswer } from '@nettlespur/net.client'
import { createLostOutcome } from './lostOutcome.js'
import type { TaskOutcome, TaskRun } from './taskTransport.js'

/** Answers up to this size are collected before they go on. */
const collectedBytesMax = 262_144
const errorBytesMax = 65_536

/** What an upstream answers only before it runs anything. */
const refusals: ReadonlySet<ErrorKind> = new Set([
  'upstream-refused',
  'fence-too-low',
  'draining',
  'unauthorized',
])

export interface ReadAnswerOptions {
  answerBytesMax: number
  /** Headers that the answer must repeat, and what it is then said to be of. */
  expected: readonly ExpectedHeader[]
}

export interface ExpectedHeader {
  readonly name: string
  readonly value: string
  readonly what: string
}

/** The headers by which the answer to `POST …/run` is matched. */
export function expectAttempt(task: TaskRun): ExpectedHeader[] {
  return [
    { name: taskHeaders.taskId, value: task.taskId, what: 'task' },
    { name: taskHeaders.attempt, value: String(task.attempt), what: 'attempt' },
  ]
}

/** The headers by which an answer collected later is matched. */
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

/** Why the answer is not the whole one of this attempt; undefined where it may be. */
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

/** The whole body, or why it is not whole. */
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
