/**
 * How often an upstream crashed under a task, or under a gang as a whole, and when it is a poison task: one that brings
 * down each upstream that starts it, with all that runs beside it.
 *
 * A crash counts for every run that went down with the upstream, but not alike. Only those that had just started can have
 * brought it down, as far as is known; where there was only one, the blame is all its own. So sound work is not given up
 * for what its neighbours do, while the number of all crashes is bounded however the blame falls.
 */
import { countSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'

/** What speaks against a run under which its upstream crashed, the least first. */
export const crashBlames = ['none', 'shared', 'sole'] as const
export const crashBlameSchema = z.enum(crashBlames)
export type CrashBlame = z.infer<typeof crashBlameSchema>

export const crashRecordSchema = z.strictObject({
  /** The newest attempt that ended so, so that members of a gang that crash together count once. */
  attempt: countSchema,
  /** The heaviest blame of that attempt. */
  blame: crashBlameSchema,
  /** Attempts under which an upstream crashed. */
  crashes: countSchema,
  /** Those with a blame, shared or sole. */
  blamed: countSchema,
  /** Those with the sole blame. */
  soleBlamed: countSchema,
})
export type CrashRecord = z.infer<typeof crashRecordSchema>

/** Agreed with the users: after two such crashes a task may be given up. */
const soleBlamedMax = 2
/** Agreed with the users: after three crashes a task is started less than three times more, whoever is to blame. */
const crashesMax = 5
/** Once is bad luck with a neighbour. */
const blamelessCrashesMax = 1

export interface Crash {
  readonly attempt: number
  readonly blame: CrashBlame
}

/** The record with one crash more, or with more blame for an attempt that is counted already. */
export function countCrash(known: CrashRecord | undefined, { attempt, blame }: Crash): CrashRecord {
  const record = known ?? { attempt: 0, blame: 'none', crashes: 0, blamed: 0, soleBlamed: 0 }
  const isCounted = attempt <= record.attempt
  const before: CrashBlame = isCounted ? record.blame : 'none'
  const heaviest = crashBlames.indexOf(blame) > crashBlames.indexOf(before) ? blame : before
  const becomes = (level: (blame: CrashBlame) => boolean): number =>
    Number(level(heaviest) && !level(before))
  return {
    attempt: Math.max(attempt, record.attempt),
    blame: heaviest,
    crashes: record.crashes + Number(!isCounted),
    blamed: record.blamed + becomes((level) => level !== 'none'),
    soleBlamed: record.soleBlamed + becomes((level) => level === 'sole'),
  }
}

/** It is not to be started again. */
export function isPoison(record: CrashRecord | undefined): boolean {
  if (record === undefined) return false
  return record.soleBlamed >= soleBlamedMax || record.crashes >= crashesMax
}

/** Its next start is to show whether it is to blame: it is a start on trial. */
export function isSuspect(record: CrashRecord | undefined): boolean {
  if (record === undefined) return false
  return record.blamed > 0 || record.crashes > blamelessCrashesMax
}
