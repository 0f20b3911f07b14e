/** Routes for health checks and metrics, and for operators to read the state of the cluster. */
import { tryAsync } from '@nettlespur/core.errors'
import type { HttpReply, HttpRequest, Route } from '@nettlespur/net.server'
import { askControl } from './askControl.js'
import type { EntryContext } from './entryContext.js'

export function createStatusRoutes(context: EntryContext): Route[] {
  return [
    {
      method: 'GET',
      path: '/v1/status',
      handle: (request) => tryAsync(() => getStatus(context, request)),
    },
    {
      method: 'GET',
      path: '/v1/report',
      handle: (request) => tryAsync(() => getReport(context, request)),
    },
    {
      method: 'GET',
      path: '/healthz',
      handle: () => tryAsync(() => Promise.resolve({ status: 200, json: { live: true } })),
    },
    {
      method: 'GET',
      path: '/readyz',
      handle: () => tryAsync(() => getReadiness(context)),
    },
    {
      method: 'GET',
      path: '/metrics',
      handle: () => tryAsync(() => getMetrics(context)),
    },
  ]
}

async function getStatus(context: EntryContext, request: HttpRequest): Promise<HttpReply> {
  context.access.requireOperator(request)
  const json = await askControl({ clock: context.clock, effect: 'read' }, () =>
    context.control.getStatus(),
  )
  return { status: 200, json }
}

async function getReport(context: EntryContext, request: HttpRequest): Promise<HttpReply> {
  context.access.requireOperator(request)
  const json = await askControl({ clock: context.clock, effect: 'read' }, () =>
    context.control.getReport(),
  )
  return { status: 200, json }
}

function getReadiness(context: EntryContext): Promise<HttpReply> {
  const error = context.drain.readinessFault() ?? context.view.lease.getRefusal()
  if (error !== undefined) return Promise.reject(error)
  return Promise.resolve({ status: 200, json: { ready: true } })
}

function getMetrics(context: EntryContext): Promise<HttpReply> {
  const headers = { 'content-type': 'text/plain; charset=utf-8' }
  return Promise.resolve({ status: 200, headers, bytes: context.metrics.render() })
}
