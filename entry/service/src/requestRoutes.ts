/** The route for short requests, which returns the upstream's complete answer. */
import { idempotencyKeySchema, requestHeaders, taskHeaders } from '@nettlespur/api.schemas'
import { NettlespurError, tryAsync, unwrap } from '@nettlespur/core.errors'
import type { ShortAnswer } from '@nettlespur/entry.requests'
import type { HttpReply, HttpRequest, Route } from '@nettlespur/net.server'
import type { EntryContext } from './entryContext.js'
import { readHeader, readWholeNumber } from './readParts.js'

const deadlineMaxMs = 3_600_000
const upstreamHeader = 'nettlespur-upstream-id'

export function createRequestRoutes(context: EntryContext): Route[] {
  return [
    {
      method: 'POST',
      path: '/v1/requests',
      handle: (request) => tryAsync(() => runRequest(context, request)),
    },
  ]
}

async function runRequest(context: EntryContext, request: HttpRequest): Promise<HttpReply> {
  const receivedMs = context.clock.monotonicMs()
  const workspace = context.access.requireNamedWorkspace(request)
  const refusal = context.drain.refusal()
  if (refusal !== undefined) throw refusal
  const deadlineMs = readDeadlineMs(request) ?? context.requestDeadlineMs
  const answer = await unwrap(
    context.router.run({
      workspace,
      key: readHeader(request, requestHeaders.key, idempotencyKeySchema),
      repeatable: readRepeatable(request),
      deadlineAtMs: receivedMs + deadlineMs,
      contentType: request.header('content-type'),
      body: await unwrap(request.readBody()),
      callerGone: request.callerGone,
    }),
  )
  return createReply(answer)
}

function readDeadlineMs(request: HttpRequest): number | undefined {
  const name = requestHeaders.deadlineMs
  const deadlineMs = readWholeNumber(`header ${name}`, request.header(name))
  if (deadlineMs === undefined || deadlineMs <= deadlineMaxMs) return deadlineMs
  throw new NettlespurError('invalid-field', `header ${name}: must be at most ${deadlineMaxMs}`)
}

function readRepeatable(request: HttpRequest): boolean {
  const text = request.header(requestHeaders.repeatable) ?? 'false'
  if (text === 'true' || text === 'false') return text === 'true'
  throw new NettlespurError(
    'invalid-field',
    `header ${requestHeaders.repeatable}: must be true or false`,
  )
}

function createReply(answer: ShortAnswer): HttpReply {
  const headers = {
    ...(answer.contentType === undefined ? {} : { 'content-type': answer.contentType }),
    [taskHeaders.taskId]: answer.taskId,
    [taskHeaders.attempt]: String(answer.attempt),
    [upstreamHeader]: answer.upstreamId,
  }
  const { status, body } = answer
  if (Buffer.isBuffer(body)) return { status, headers, bytes: body }
  const length = { 'content-length': String(answer.lengthBytes) }
  return { status, headers: { ...headers, ...length }, stream: body }
}
