/**
 * Counts the upstream crashes during a task's runs and decides when it is a poison task: one that crashes every upstream
 * that starts it, along with all other runs there. Which losses count as crashes is up to the caller. Gang members are counted separately, because a crash under one
 * member and a later one under another are no evidence against either.
 *
 * A crash counts for every run on the upstream, but with different blame: a run crashes its upstream as it starts, so
 * the runs that had just started are the suspects. Blame keeps healthy tasks from being given up for crashes that
 * other runs cause; the limit on all crashes bounds the restarts whoever is blamed.
 */
import { countSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'

/** How likely it is that a run caused the crash of its upstream. */
export const crashBlameSchema = z.enum([
  /** It had been running for a while and others had just started, or it had not been started. */
  'none',
  /** It may be the cause, but it is uncertain whether the upstream crashed, the run had started or another run did it. */
  'suspected',
  /** It had just started, and the upstream certainly crashed. */
  'blamed',
])
export type CrashBlame = z.infer<typeof crashBlameSchema>

export const crashRecordSchema = z.strictObject({
  /** Runs that ended because their upstream crashed. */
  crashes: countSchema,
  /** Crashes with blame `suspected` or `blamed`. */
  suspected: countSchema,
  /** Crashes with blame `blamed`. */
  blamed: countSchema,
  /** Attempt number of the third crash; absent until then. */
  thirdAttempt: countSchema.optional(),
})
export type CrashRecord = z.infer<typeof crashRecordSchema>

/** Users agreed to give up a task after two such crashes; the third allows for an upstream that crashes by itself. */
const blamedCrashesMax = 3
/** Agreed with the users: a task that causes crashes is started fewer than 3 more times after its third crash. */
const crashesBeforeStartLimit = 3
const startsAfterThirdCrashMax = crashesBeforeStartLimit - 1
const crashesMax = crashesBeforeStartLimit + startsAfterThirdCrashMax
/** A single crash without suspicion is put down to another run on the same upstream. */
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

/** Whether the task must not be started again. `attempt` is its last attempt, whatever its outcome. */
export function isPoison(record: CrashRecord | undefined, attempt: number): boolean {
  if (record === undefined) return false
  const { crashes, suspected, blamed, thirdAttempt = Infinity } = record
  if (blamed >= blamedCrashesMax || crashes >= crashesMax) return true
  return suspected > 0 && attempt >= thirdAttempt + startsAfterThirdCrashMax
}

/** Whether the task's next start is a trial, which shows whether the task crashes its upstream. */
export function isSuspect(record: CrashRecord | undefined): boolean {
  if (record === undefined) return false
  return record.suspected > 0 || record.crashes > blamelessCrashesMax
}
