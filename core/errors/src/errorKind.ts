/**
 * The closed list of error kinds. Every failure that leaves a process is one of these; what each one
 * means to a caller stands in the answer table beside this file.
 */
import { z } from 'zod'

export const errorKinds = [
  'malformed-json',
  'malformed-yaml',
  'unknown-field',
  'invalid-field',
  'body-too-large',
  'headers-too-large',
  'unauthorized',
  'unknown-workspace',
  'unknown-job',
  'unknown-upstream',
  'unknown-member',
  'unknown-route',
  'unknown-data-centre',
  'stale-revision',
  'overtaken',
  'change-id-conflict',
  'idempotency-conflict',
  'infeasible-contract',
  'impossible-shape',
  'over-limit',
  'queue-full',
  'deadline-before-start',
  'no-upstream',
  'upstream-refused',
  'no-config',
  'not-leader',
  'no-quorum',
  'contract-lease-expired',
  'draining',
  /** A peer of another version cannot read the call. */
  'version-mismatch',
  'cancelled-before-start',
  'cancelled-after-start',
  'job-failed',
  'upstream-failed',
  'answer-expired',
  'outcome-unknown',
  'fence-too-low',
  'membership-refused',
  'disk-full',
  'storage-damaged',
  'storage-failed',
  'invalid-settings',
  'invalid-usage',
  'unreachable',
  'internal',
] as const

export const errorKindSchema = z.enum(errorKinds)

/** One member of the closed list. */
export type ErrorKind = z.infer<typeof errorKindSchema>
