/** Routes with which operators see the data centres, and evacuate one and take it back. */
import { identifierSchema } from '@nettlespur/api.schemas'
import { NettlespurError, tryAsync, unwrap } from '@nettlespur/core.errors'
import { orderEvacuation } from '@nettlespur/core.evacuations'
import type { HttpReply, HttpRequest, Route } from '@nettlespur/net.server'
import { askControl } from './askControl.js'
import type { EntryContext } from './entryContext.js'
import { readParam } from './readParts.js'

const evacuationPath = '/v1/data-centres/:dataCentre/evacuation'

export function createDataCentreRoutes(context: EntryContext): Route[] {
  return [
    {
      method: 'GET',
      path: '/v1/data-centres',
      handle: (request) => tryAsync(() => listDataCentres(context, request)),
    },
    {
      method: 'PUT',
      path: evacuationPath,
      handle: (request) => tryAsync(() => changeEvacuation(context, request, true)),
    },
    {
      method: 'DELETE',
      path: evacuationPath,
      handle: (request) => tryAsync(() => changeEvacuation(context, request, false)),
    },
  ]
}

async function listDataCentres(context: EntryContext, request: HttpRequest): Promise<HttpReply> {
  context.access.requireOperator(request)
  const evacuations = await askControl({ clock: context.clock, effect: 'read' }, () =>
    context.control.listEvacuations(),
  )
  const dataCentres = evacuations.map(({ dataCentre, isInForce, revision }) => {
    return { dataCentre, evacuated: isInForce, revision }
  })
  return { status: 200, json: { dataCentres } }
}

/** Repeated within the entry only with the revision that was current as the order came. */
async function changeEvacuation(
  { access, clock, control }: EntryContext,
  request: HttpRequest,
  isInForce: boolean,
): Promise<HttpReply> {
  access.requireOperator(request)
  const dataCentre = readParam(request, 'dataCentre', identifierSchema)
  const body = await unwrap(request.readBody())
  if (body.length > 0) throw new NettlespurError('invalid-field', 'the order takes no body')
  const order = orderEvacuation(
    {
      list: () =>
        tryAsync(() => askControl({ clock, effect: 'read' }, () => control.listEvacuations())),
      change: (change) =>
        tryAsync(() =>
          askControl({ clock, effect: 'idempotent' }, () => control.changeEvacuation(change)),
        ),
    },
    { dataCentre, isInForce },
  )
  await unwrap(order)
  return { status: 200, json: { dataCentre, evacuated: isInForce } }
}
