/**
 * How often an upstream crashed under a task, and when it is a poison task: one that brings down each upstream that starts
 * it, with all that runs beside it. Members of a gang count each by itself: that upstreams crash under one member and then
 * under another says nothing against either.
 *
 * A crash counts for every run that went down with the upstream, but not alike: only those that had just started can have
 * brought it down, as far as is known. So sound work is not given up for what its neighbours do, while the number of all
 * crashes is bounded however the blame falls.
 */
import { countSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'

/** What speaks against a run under which its upstream crashed. */
export const crashBlameSchema = z.enum([
  /** It had been at work for a while, and others had just started. */
  'none',
  /** It may have done it, if the upstream crashed at all and not before the run had started. */
  'suspected',
  /** It had just started when the upstream surely crashed. */
  'blamed',
])
export type CrashBlame = z.infer<typeof crashBlameSchema>

export const crashRecordSchema = z.strictObject({
  /** Runs under which an upstream crashed, or fell silent for good. */
  crashes: countSchema,
  /** Those that may have done it. */
  suspected: countSchema,
  /** Those that had just started when the upstream surely crashed. */
  blamed: countSchema,
  /** The attempt of the third crash; absent before. */
  thirdAttempt: countSchema.optional(),
})
export type CrashRecord = z.infer<typeof crashRecordSchema>

/** Agreed with the users: after two such crashes a task may be given up; one more for an upstream that crashes by itself. */
const blamedCrashesMax = 3
/** Agreed with the users: after this many crashes a task that causes them is started fewer than as many times more. */
const crashesBeforeStartLimit = 3
const startsAfterThirdCrashMax = crashesBeforeStartLimit - 1
const crashesMax = crashesBeforeStartLimit + startsAfterThirdCrashMax
/** Once is bad luck with a neighbour. */
const blamelessCrashesMax = 1

export interface Crash {
  readonly attempt: number
  readonly blame: CrashBlame
}

export function countCrash(known: CrashRecord | undefined, { attempt, blame }: Crash): CrashRecord {
  const before: CrashRecord = known ?? { crashes: 0, suspected: 0, blamed: 0 }
  const crashes = before.crashes + 1
  return {
    ...before,
    crashes,
    suspected: before.suspected + Number(blame !== 'none'),
    blamed: before.blamed + Number(blame === 'blamed'),
    ...(crashes === crashesBeforeStartLimit ? { thirdAttempt: attempt } : {}),
  }
}

/** It is not to be started again. `attempt` is its last one, however that ended. */
export function isPoison(record: CrashRecord | undefined, attempt: number): boolean {
  if (record === undefined) return false
  const { crashes, suspected, blamed, thirdAttempt = Infinity } = record
  if (blamed >= blamedCrashesMax || crashes >= crashesMax) return true
  return suspected > 0 && attempt >= thirdAttempt + startsAfterThirdCrashMax
}

/** Its next start is to show whether it is to blame: it is a start on trial. */
export function isSuspect(record: CrashRecord | undefined): boolean {
  if (record === undefined) return false
  return record.suspected > 0 || record.crashes > blamelessCrashesMax
}
