/** Routes with which callers submit gang jobs, read their state, wait for their answers, and explain or cancel them. */
import { finalJobStates, jobRequestSchema } from '@nettlespur/api.schemas'
import { tryAsync, unwrap } from '@nettlespur/core.errors'
import type { HttpReply, HttpRequest, Route } from '@nettlespur/net.server'
import type { JobReference } from '@nettlespur/control.api'
import { askControl } from './askControl.js'
import { awaitJobAnswer } from './awaitJobAnswer.js'
import type { EntryContext } from './entryContext.js'
import { readQuery, readWholeNumber } from './readParts.js'

const answerWaitMaxMs = 300_000

export function createJobRoutes(context: EntryContext): Route[] {
  return [
    {
      method: 'POST',
      path: '/v1/jobs',
      handle: (request) => tryAsync(() => submitJob(context, request)),
    },
    {
      method: 'GET',
      path: '/v1/jobs/:id',
      handle: (request) => tryAsync(() => getJob(context, request)),
    },
    {
      method: 'GET',
      path: '/v1/jobs/:id/answer',
      handle: (request) => tryAsync(() => getAnswer(context, request)),
    },
    {
      method: 'GET',
      path: '/v1/jobs/:id/explanation',
      handle: (request) => tryAsync(() => explainJob(context, request)),
    },
    {
      method: 'DELETE',
      path: '/v1/jobs/:id',
      handle: (request) => tryAsync(() => cancelJob(context, request)),
    },
  ]
}

async function submitJob(context: EntryContext, request: HttpRequest): Promise<HttpReply> {
  context.access.requireAnyKey(request)
  const job = await unwrap(request.readJson(jobRequestSchema))
  context.access.requireCaller(request, job.workspace)
  const refusal = context.drain.refusal()
  if (refusal !== undefined) throw refusal
  const effect = job.jobKey === undefined ? 'once' : 'idempotent'
  const { jobId, state } = await askControl({ clock: context.clock, effect }, () =>
    context.control.submitJob(job),
  )
  context.logger.info({ event: 'job.submitted', workspace: job.workspace, jobId, state })
  return { status: 202, json: { jobId, state } }
}

async function getJob(context: EntryContext, request: HttpRequest): Promise<HttpReply> {
  const reference = readReference(context, request)
  const job = await askControl({ clock: context.clock, effect: 'read' }, () =>
    context.control.getJob(reference),
  )
  return { status: 200, json: job }
}

async function getAnswer(context: EntryContext, request: HttpRequest): Promise<HttpReply> {
  const reference = readReference(context, request)
  const askedMs = readWholeNumber('query waitMs', readQuery(request, 'waitMs')) ?? 0
  const waitMs = Math.min(askedMs, answerWaitMaxMs)
  const outcome = await awaitJobAnswer(context, { ...reference, waitMs }, request.callerGone)
  if (outcome.answer === undefined) return { status: 202, json: outcome.job }
  return { status: 200, json: outcome.answer }
}

async function explainJob(context: EntryContext, request: HttpRequest): Promise<HttpReply> {
  const reference = readReference(context, request)
  const explanation = await askControl({ clock: context.clock, effect: 'read' }, () =>
    context.control.explainJob(reference),
  )
  return { status: 200, json: explanation }
}

async function cancelJob(context: EntryContext, request: HttpRequest): Promise<HttpReply> {
  const reference = readReference(context, request)
  const job = await askControl({ clock: context.clock, effect: 'idempotent' }, () =>
    context.control.cancelJob(reference),
  )
  return { status: finalJobStates.has(job.state) ? 200 : 202, json: job }
}

function readReference(context: EntryContext, request: HttpRequest): JobReference {
  const workspace = context.access.requireNamedWorkspace(request)
  return { workspace, jobId: request.param('id') }
}
