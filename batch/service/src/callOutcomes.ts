/** What the end of one try says of the call. */
import { NettlespurError } from '@nettlespur/core.errors'

/** Kinds that say that the call has not run and another member may take it. */
const notRunKinds = new Set(['not-leader', 'unreachable', 'no-quorum', 'draining', 'disk-full'])
/** Kinds after which the call may have run; sending it again changes nothing. */
const inDoubtKinds = new Set(['outcome-unknown', 'storage-failed', 'internal'])

export type AttemptResult<T> = { readonly value: T } | NettlespurError

/** The call may have run. */
export function isInDoubt({ kind }: NettlespurError): boolean {
  return inDoubtKinds.has(kind)
}

/** The leader's own answer, which another try would not change. */
export function isFinal({ kind }: NettlespurError): boolean {
  return !notRunKinds.has(kind) && !inDoubtKinds.has(kind)
}
