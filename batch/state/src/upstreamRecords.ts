/** Changes of the records of upstreams. */
import type { CommandOf, CommandOutcome } from './command.js'
import { isStaleAnnouncement } from './isStaleAnnouncement.js'
import type { UpstreamRecord } from './records.js'

/** Records an announcement; that the upstream drains or has left stays as it was. */
export function noteUpstream(
  upstreams: Map<string, UpstreamRecord>,
  { description, sequence }: CommandOf<'note-upstream'>,
): CommandOutcome {
  const known = upstreams.get(description.upstreamId)
  if (isStaleAnnouncement(known, sequence)) return 'unchanged'
  upstreams.set(description.upstreamId, {
    description,
    ...(sequence === undefined ? {} : { sequence }),
    isDraining: known?.isDraining ?? false,
    hasLeft: known?.hasLeft ?? false,
  })
  return 'done'
}

export function changeUpstream(
  upstreams: Map<string, UpstreamRecord>,
  upstreamId: string,
  change: Partial<UpstreamRecord>,
): CommandOutcome {
  const known = upstreams.get(upstreamId)
  if (known === undefined) return 'unchanged'
  upstreams.set(upstreamId, { ...known, ...change })
  return 'done'
}
