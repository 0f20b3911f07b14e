/** Routes with which operators list, add and remove control instances. */
import { identifierSchema } from '@nettlespur/api.schemas'
import { newMemberSchema } from '@nettlespur/control.api'
import { tryAsync, unwrap } from '@nettlespur/core.errors'
import type { HttpReply, HttpRequest, Route } from '@nettlespur/net.server'
import { askControl } from './askControl.js'
import type { EntryContext } from './entryContext.js'
import { readParam } from './readParts.js'

export function createMemberRoutes(context: EntryContext): Route[] {
  return [
    {
      method: 'GET',
      path: '/v1/members',
      handle: (request) => tryAsync(() => listMembers(context, request)),
    },
    {
      method: 'POST',
      path: '/v1/members',
      handle: (request) => tryAsync(() => addMember(context, request)),
    },
    {
      method: 'DELETE',
      path: '/v1/members/:memberId',
      handle: (request) => tryAsync(() => removeMember(context, request)),
    },
  ]
}

async function listMembers(context: EntryContext, request: HttpRequest): Promise<HttpReply> {
  context.access.requireOperator(request)
  const members = await askControl({ clock: context.clock, effect: 'read' }, () =>
    context.control.listMembers(),
  )
  return { status: 200, json: { members } }
}

async function addMember(context: EntryContext, request: HttpRequest): Promise<HttpReply> {
  context.access.requireOperator(request)
  const member = await unwrap(request.readJson(newMemberSchema))
  await askControl({ clock: context.clock, effect: 'idempotent' }, () =>
    context.control.addMember(member),
  )
  return { status: 202, json: member }
}

/** Not retried once it may have arrived: a second removal would report that the member does not exist. */
async function removeMember(context: EntryContext, request: HttpRequest): Promise<HttpReply> {
  context.access.requireOperator(request)
  const memberId = readParam(request, 'memberId', identifierSchema)
  await askControl({ clock: context.clock, effect: 'once' }, () =>
    context.control.removeMember(memberId),
  )
  return { status: 202, json: { memberId } }
}
