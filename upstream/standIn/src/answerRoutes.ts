/** The calls that answer with a task's raw bytes: one short request, and collecting an answer again. */
import { durationMsSchema, fenceSchema, parseValue, taskHeaders } from '@nettlespur/api.schemas'
import { NettlespurError } from '@nettlespur/core.errors'
import type { HttpReply, HttpRequest, Route } from '@nettlespur/net.server'
import { EitherAsync, Left, Right, type Either } from 'purify-ts'
import { z } from 'zod'
import { createHeldRoute, type HeldRouteContext } from './heldRoute.js'
import { readEndedAnswer } from './readEndedAnswer.js'
import type { RequestCalls } from './requestCalls.js'
import type { TaskTable } from './taskTable.js'

const statusOk = 200

const runHeadersSchema = z.object({
  fence: z.coerce.number().pipe(fenceSchema),
  attempt: z.coerce.number().pipe(z.int().positive()),
  leaseMs: z.coerce.number().pipe(durationMsSchema),
})

export function createAnswerRoutes(
  context: HeldRouteContext,
  tasks: TaskTable,
  calls: RequestCalls,
): Route[] {
  return [
    createHeldRoute(context, 'run', 'POST', '/v1/tasks/:taskId/run', (request) =>
      runRequest(request, calls),
    ),
    createHeldRoute(context, 'answer', 'GET', '/v1/tasks/:taskId/answer', (request) =>
      EitherAsync.liftEither(collectAnswer(tasks, request.param('taskId'))),
    ),
  ]
}

function runRequest(
  request: HttpRequest,
  calls: RequestCalls,
): EitherAsync<NettlespurError, HttpReply> {
  const taskId = request.param('taskId')
  return EitherAsync.liftEither(readRunHeaders(request)).chain(({ fence, attempt, leaseMs }) =>
    request
      .readBody()
      .chain((body) => calls.run({ taskId, fence, leaseMs, body }))
      .map((answer) =>
        toReply(answer, {
          [taskHeaders.taskId]: taskId,
          [taskHeaders.fence]: String(fence),
          [taskHeaders.attempt]: String(attempt),
        }),
      ),
  )
}

function readRunHeaders(
  request: HttpRequest,
): Either<NettlespurError, z.infer<typeof runHeadersSchema>> {
  return parseValue(runHeadersSchema, {
    fence: request.header(taskHeaders.fence),
    attempt: request.header(taskHeaders.attempt),
    leaseMs: request.header(taskHeaders.leaseMs),
  })
}

function collectAnswer(tasks: TaskTable, taskId: string): Either<NettlespurError, HttpReply> {
  const task = tasks.find(taskId)
  if (task === undefined) return Left(new NettlespurError('unknown-job', `no task ${taskId}`))
  return readEndedAnswer(task).chain((answer) =>
    Right(
      toReply(answer, {
        [taskHeaders.taskId]: taskId,
        [taskHeaders.fence]: String(task.fence),
      }),
    ),
  )
}

function toReply(bytes: Buffer, headers: Record<string, string>): HttpReply {
  return {
    status: statusOk,
    headers: { 'content-type': 'application/octet-stream', ...headers },
    bytes,
  }
}
