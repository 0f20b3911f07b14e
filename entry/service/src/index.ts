/** The HTTP API that callers, operators and upstreams use on any entry. */
export { AccessControl, type AccessControlOptions } from './accessControl.js'
export { AnnouncementRelay, type AnnouncementRelayOptions } from './announcementRelay.js'
export { createEntryRoutes } from './createEntryRoutes.js'
export { DrainState, type DrainPhase } from './drainState.js'
export type { EntryContext } from './entryContext.js'
