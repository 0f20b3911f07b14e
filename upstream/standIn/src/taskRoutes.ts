/** The task protocol over HTTP. */
import {
  fencedCallSchema,
  renewLeasesSchema,
  reserveTaskSchema,
  stopTaskSchema,
  throttleTaskSchema,
  type TaskStatus,
} from '@nettlespur/api.schemas'
import type { NettlespurError } from '@nettlespur/core.errors'
import type { HttpMethod, HttpReply, HttpRequest, Route } from '@nettlespur/net.server'
import { EitherAsync, Right, type Either } from 'purify-ts'
import type { z } from 'zod'
import { createAnswerRoutes } from './answerRoutes.js'
import type { CallKind } from './faults.js'
import { GangCalls } from './gangCalls.js'
import { createHeldRoute, type HeldRouteContext } from './heldRoute.js'
import { RequestCalls, type RequestCallsOptions } from './requestCalls.js'

const statusOk = 200

export function createTaskRoutes(context: HeldRouteContext, opts: RequestCallsOptions): Route[] {
  const calls = new GangCalls(opts)
  const held = (kind: CallKind, method: HttpMethod, path: string, handle: Route['handle']): Route =>
    createHeldRoute(context, kind, method, path, handle)
  return [
    held('reserve', 'PUT', '/v1/tasks/:taskId', (request) =>
      answerStatus(request, reserveTaskSchema, (taskId, body) => calls.reserve(taskId, body)),
    ),
    held('start', 'POST', '/v1/tasks/:taskId/start', (request) =>
      answerStatus(request, fencedCallSchema, (taskId, body) => calls.start(taskId, body.fence)),
    ),
    held('checkpoint', 'POST', '/v1/tasks/:taskId/checkpoint', (request) =>
      request
        .readJson(fencedCallSchema)
        .chain((body) => calls.checkpoint(request.param('taskId'), body.fence))
        .map(toReply),
    ),
    held('throttle', 'POST', '/v1/tasks/:taskId/throttle', (request) =>
      answerStatus(request, throttleTaskSchema, (taskId, body) => calls.throttle(taskId, body)),
    ),
    held('stop', 'POST', '/v1/tasks/:taskId/stop', (request) =>
      answerStatus(request, stopTaskSchema, (taskId, body) => calls.stop(taskId, body)),
    ),
    held('renew', 'POST', '/v1/leases', (request) =>
      request.readJson(renewLeasesSchema).map((body) => toReply({ tasks: calls.renew(body) })),
    ),
    held('status', 'GET', '/v1/tasks/:taskId', (request) =>
      EitherAsync.liftEither(Right(toReply(opts.tasks.status(request.param('taskId'))))),
    ),
    ...createAnswerRoutes(context, opts.tasks, new RequestCalls(opts)),
  ]
}

function answerStatus<T>(
  request: HttpRequest,
  schema: z.ZodType<T>,
  call: (taskId: string, body: T) => Either<NettlespurError, TaskStatus>,
): EitherAsync<NettlespurError, HttpReply> {
  return request
    .readJson(schema)
    .chain((body) => EitherAsync.liftEither(call(request.param('taskId'), body)))
    .map(toReply)
}

function toReply(json: unknown): HttpReply {
  return { status: statusOk, json }
}
