/** The keys an entry reads once, at its start. */
import { readKeys } from '@nettlespur/daemons.common'
import type { EntrySettings } from '@nettlespur/settings.schemas'

/** Keys by role; the first of each is the one that is sent. */
export interface EntryKeys {
  readonly peers: readonly string[]
  readonly operators: readonly string[]
  readonly upstreams: readonly string[]
}

/** Throws `invalid-settings`. */
export function readEntryKeys(settings: EntrySettings): EntryKeys {
  const { peers, operators, upstreams } = settings.keyFiles
  return { peers: readKeys(peers), operators: readKeys(operators), upstreams: readKeys(upstreams) }
}
