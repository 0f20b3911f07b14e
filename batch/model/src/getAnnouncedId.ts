/** The id under which a process of an upstream announces itself, which is its own unless a later process may have it too. */

export interface ProcessIds {
  readonly upstreamId: string
  readonly announcedId?: string | undefined
}

export function getAnnouncedId({ upstreamId, announcedId }: ProcessIds): string {
  return announcedId ?? upstreamId
}
