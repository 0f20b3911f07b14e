/** Classifies the errors of one attempt: whether the call has run, and whether to retry it. */
import { NettlespurError } from '@nettlespur/core.errors'

/** Kinds after which the call has certainly not run; another member may accept it. */
const notRunKinds = new Set([
  'not-leader',
  'unreachable',
  'no-quorum',
  'draining',
  'version-mismatch',
  'disk-full',
])
/** Kinds after which the call may have run; retrying is safe because calls are idempotent. */
const inDoubtKinds = new Set(['outcome-unknown', 'storage-failed', 'internal'])

export type AttemptResult<T> = { readonly value: T } | NettlespurError

/** Whether the call may have run despite the error. */
export function isInDoubt({ kind }: NettlespurError): boolean {
  return inDoubtKinds.has(kind)
}

/** Whether the error is the leader's own answer, which a retry would not change. */
export function isFinal({ kind }: NettlespurError): boolean {
  return !notRunKinds.has(kind) && !inDoubtKinds.has(kind)
}
