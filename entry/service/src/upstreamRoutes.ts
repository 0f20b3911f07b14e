/** Routes with which upstreams announce themselves and operators list them. */
import { announcementSchema, identifierSchema } from '@nettlespur/api.schemas'
import { tryAsync, unwrap } from '@nettlespur/core.errors'
import type { HttpReply, HttpRequest, Route } from '@nettlespur/net.server'
import type { EntryContext } from './entryContext.js'
import { readParam } from './readParts.js'

export function createUpstreamRoutes(context: EntryContext): Route[] {
  return [
    {
      method: 'POST',
      path: '/v1/upstreams/:id/announce',
      handle: (request) => tryAsync(() => takeAnnouncement(context, request)),
    },
    {
      method: 'GET',
      path: '/v1/upstreams',
      handle: (request) => tryAsync(() => listUpstreams(context, request)),
    },
  ]
}

async function takeAnnouncement(context: EntryContext, request: HttpRequest): Promise<HttpReply> {
  context.access.requireUpstream(request)
  const upstreamId = readParam(request, 'id', identifierSchema)
  const announcement = await unwrap(request.readJson(announcementSchema))
  context.view.applyAnnouncement(upstreamId, announcement)
  context.relay.receive(upstreamId, announcement)
  return { status: 200, json: { nextAnnouncementMs: context.announceEveryMs } }
}

function listUpstreams(context: EntryContext, request: HttpRequest): Promise<HttpReply> {
  context.access.requireOperator(request)
  const upstreams = [...context.view.upstreams.value.values()]
  return Promise.resolve({ status: 200, json: { upstreams } })
}
