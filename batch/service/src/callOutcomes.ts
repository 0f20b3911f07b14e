/** What the end of one try says of the call. */
import { NettlespurError } from '@nettlespur/core.errors'

/** Kinds that say that the call has not run and another member may take it. */
const elsewhere = new Set(['not-leader', 'unreachable', 'no-quorum', 'draining', 'disk-full'])
/** Kinds after which the call may have run; sending it again changes nothing. */
const unsure = new Set(['outcome-unknown', 'storage-failed', 'internal'])

export type Attempt<T> = { readonly value: T } | NettlespurError

/** The call may have run. */
export function isInDoubt({ kind }: NettlespurError): boolean {
  return unsure.has(kind)
}

/** The leader's own answer, which another try would not change. */
export function isFinal({ kind }: NettlespurError): boolean {
  return !elsewhere.has(kind) && !unsure.has(kind)
}
