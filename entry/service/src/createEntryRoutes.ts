/** All routes of the HTTP API. */
import type { Route } from '@nettlespur/net.server'
import { createContractRoutes } from './contractRoutes.js'
import { createDataCentreRoutes } from './dataCentreRoutes.js'
import type { EntryContext } from './entryContext.js'
import { createJobRoutes } from './jobRoutes.js'
import { createMemberRoutes } from './memberRoutes.js'
import { createRequestRoutes } from './requestRoutes.js'
import { createStatusRoutes } from './statusRoutes.js'
import { createUpstreamRoutes } from './upstreamRoutes.js'

export function createEntryRoutes(context: EntryContext): Route[] {
  return [
    ...createJobRoutes(context),
    ...createRequestRoutes(context),
    ...createContractRoutes(context),
    ...createUpstreamRoutes(context),
    ...createDataCentreRoutes(context),
    ...createMemberRoutes(context),
    ...createStatusRoutes(context),
  ]
}
