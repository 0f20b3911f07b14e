/** Tells announcements that arrive out of order. */
import type { UpstreamRecord } from './records.js'

/**
 * Whether the stored description comes from a newer announcement than `sequence`. Announcements may arrive out of order,
 * and an older one may state capacity that the upstream no longer has.
 */
export function isStaleAnnouncement(
  known: UpstreamRecord | undefined,
  sequence: number | undefined,
): boolean {
  if (known?.sequence === undefined || sequence === undefined) return false
  return sequence < known.sequence
}
