/**
 * The runs of a task that were lost with their upstreams. That an upstream crashed is certain once another process answers
 * at its address. One that was only silent until the lease had expired may have crashed or may run on, cut off; such a
 * loss is settled as soon as it is known which.
 *
 * Only certain crashes give a task up. As long as silences are not settled they hold back further starts of a task
 * that would be given up if all of them were crashes, so that a poison task stays within the limits.
 */
import { countSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'
import {
  countCrash,
  crashBlameSchema,
  isPoison,
  isSuspect,
  type CrashRecord,
} from './crashRecord.js'

export const upstreamLossSchema = z.strictObject({
  attempt: countSchema,
  upstreamId: z.string(),
  blame: crashBlameSchema,
  /** Whether the upstream certainly crashed; otherwise it was silent, and what became of it is not known. */
  isCrash: z.boolean(),
})
export type UpstreamLoss = z.infer<typeof upstreamLossSchema>

/** The part of a task's record that is about its losses. */
interface LossHistory {
  /** Number of the last placed attempt. */
  readonly attempt: number
  losses?: UpstreamLoss[] | undefined
}

export function addLoss(task: LossHistory, loss: UpstreamLoss): void {
  task.losses = [...(task.losses ?? []), loss].sort((one, other) => one.attempt - other.attempt)
}

/** Applies what became of the upstream. Returns false, and changes nothing, if the task has no such open silence. */
export function settleSilence(
  task: LossHistory,
  { attempt, upstreamId }: Pick<UpstreamLoss, 'attempt' | 'upstreamId'>,
  hasCrashed: boolean,
): boolean {
  const isMeant = (loss: UpstreamLoss): boolean =>
    !loss.isCrash && loss.attempt === attempt && loss.upstreamId === upstreamId
  const { losses = [] } = task
  if (!losses.some(isMeant)) return false
  const settled = losses.flatMap((loss) => {
    if (!isMeant(loss)) return [loss]
    return hasCrashed ? [{ ...loss, isCrash: true }] : []
  })
  if (settled.length === 0) delete task.losses
  else task.losses = settled
  return true
}

/** Lists the silences that are not settled. */
export function listSilences({ losses = [] }: LossHistory): UpstreamLoss[] {
  return losses.filter(({ isCrash }) => !isCrash)
}

/** Counts the certain crashes; undefined if there were none. */
export function countCrashes({ losses = [] }: LossHistory): CrashRecord | undefined {
  return countAll(losses.filter(({ isCrash }) => isCrash))
}

/** Whether certain crashes alone show that the task must not be started again. */
export function isPoisonTask(task: LossHistory): boolean {
  return isPoison(countCrashes(task), task.attempt)
}

/** Whether the task must not be started until it is known what became of upstreams that were silent under it. */
export function isHeldBack(task: LossHistory): boolean {
  if (task.losses === undefined || listSilences(task).length === 0) return false
  return isPoison(countAll(task.losses.filter(mayBeItsDoing)), task.attempt)
}

/** Whether the task's next start is a trial, as crashes or silences of its upstreams may be its doing. */
export function hasSuspectLosses({ losses }: LossHistory): boolean {
  return losses !== undefined && isSuspect(countAll(losses.filter(mayBeItsDoing)))
}

/** A silence under a run without blame says nothing of its task, unless it turns out that the upstream crashed. */
function mayBeItsDoing({ isCrash, blame }: UpstreamLoss): boolean {
  return isCrash || blame !== 'none'
}

/** `losses` are in the order of their attempts. */
function countAll(losses: readonly UpstreamLoss[]): CrashRecord | undefined {
  return losses.reduce((known: CrashRecord | undefined, loss) => countCrash(known, loss), undefined)
}
