/**
 * The runs of a task that were lost with their upstreams. That an upstream crashed is certain once another process answers
 * at its address. One that was only silent until the lease had expired may have crashed or may run on, cut off; such a
 * loss is settled as soon as it is known which.
 *
 * Certain crashes give a task up. Silences hold back further starts of a task that would be given up if all of them were
 * crashes, so that a poison task stays within the limits. They tip the scale only if nothing could be learned of them for
 * long, and after certain crashes that suffice by themselves as agreed with the users.
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

export const lossFateSchema = z.enum([
  /** The upstream was silent, and it is still to be learned what became of it. */
  'open',
  /** The upstream was silent, and nothing could be learned for long. */
  'unknown',
  /** The upstream certainly crashed. */
  'crashed',
])
export type LossFate = z.infer<typeof lossFateSchema>

export const upstreamLossSchema = z.strictObject({
  attempt: countSchema,
  upstreamId: z.string(),
  blame: crashBlameSchema,
  /** Whether the run had been seen at work before its upstream fell silent. */
  wasAtWork: z.boolean(),
  fate: lossFateSchema,
})
export type UpstreamLoss = z.infer<typeof upstreamLossSchema>

/** What was learned of an upstream that was silent; a silence of one that lives is taken back. */
export const silenceVerdictSchema = z.enum(['alive', 'unknown', 'crashed'])
export type SilenceVerdict = z.infer<typeof silenceVerdictSchema>

/** A task may be given up after so many certain crashes, as agreed with the users; our own limits leave more room. */
const agreedCrashesMin = 2
/** Fewer losses that may be the task's doing say nothing of it. */
const suspiciousLossesMin = 3

/** The part of a task's record that is about its losses. */
interface LossHistory {
  /** Number of the last placed attempt. */
  readonly attempt: number
  losses?: UpstreamLoss[] | undefined
}

export function addLoss(task: LossHistory, loss: UpstreamLoss): void {
  task.losses = [...(task.losses ?? []), loss].sort((one, other) => one.attempt - other.attempt)
}

/** Applies a verdict. Returns false, and changes nothing, if the task has no such silence, or has that verdict already. */
export function settleSilence(
  task: LossHistory,
  { attempt, upstreamId }: Pick<UpstreamLoss, 'attempt' | 'upstreamId'>,
  verdict: SilenceVerdict,
): boolean {
  const isMeant = (loss: UpstreamLoss): boolean =>
    isSilence(loss) &&
    loss.attempt === attempt &&
    loss.upstreamId === upstreamId &&
    loss.fate !== verdict
  const { losses = [] } = task
  if (!losses.some(isMeant)) return false
  const settled = losses.flatMap((loss) => {
    if (!isMeant(loss)) return [loss]
    return verdict === 'alive' ? [] : [{ ...loss, fate: verdict }]
  })
  if (settled.length === 0) delete task.losses
  else task.losses = settled
  return true
}

/** Lists the silences of upstreams of which it is not known whether they crashed. */
export function listSilences({ losses = [] }: LossHistory): UpstreamLoss[] {
  return losses.filter(isSilence)
}

/** Counts the certain crashes; undefined if there were none. */
export function countCrashes({ losses = [] }: LossHistory): CrashRecord | undefined {
  return countAll(losses.filter(isCrash))
}

/** Whether the task must not be started again. */
export function isPoisonTask(task: LossHistory): boolean {
  const { losses, attempt } = task
  if (losses === undefined) return false
  const crashes = countCrashes(task)
  if (isPoison(crashes, attempt)) return true
  if ((crashes?.crashes ?? 0) < agreedCrashesMin) return false
  return exceedsLimits(
    losses.filter(({ fate }) => fate !== 'open'),
    attempt,
  )
}

/** Whether the task must not be started until more is known of upstreams that were silent under it. */
export function isHeldBack({ losses, attempt }: LossHistory): boolean {
  return losses?.some(isSilence) === true && exceedsLimits(losses, attempt)
}

/** Whether the task's next start is a trial, as crashes or silences of its upstreams may be its doing. */
export function hasSuspectLosses({ losses }: LossHistory): boolean {
  return losses !== undefined && isSuspect(countAll(losses.filter(mayBeItsDoing)))
}

/** Whether the task would be given up if all these losses were crashes. */
function exceedsLimits(losses: readonly UpstreamLoss[], attempt: number): boolean {
  const evidence = losses.filter(mayBeItsDoing)
  const suspicious = evidence.filter(({ blame }) => blame !== 'none')
  return suspicious.length >= suspiciousLossesMin && isPoison(countAll(evidence), attempt)
}

function isCrash({ fate }: UpstreamLoss): boolean {
  return fate === 'crashed'
}

function isSilence(loss: UpstreamLoss): boolean {
  return !isCrash(loss)
}

/**
 * What crashes its upstream mostly does so as it starts: a silence under a run that was at work is held against its task
 * only as long as more can be learned of it.
 */
function mayBeItsDoing(loss: UpstreamLoss): boolean {
  if (isCrash(loss)) return true
  return loss.blame !== 'none' && !(loss.wasAtWork && loss.fate === 'unknown')
}

/** `losses` are in the order of their attempts. */
function countAll(losses: readonly UpstreamLoss[]): CrashRecord | undefined {
  return losses.reduce((known: CrashRecord | undefined, loss) => countCrash(known, loss), undefined)
}
