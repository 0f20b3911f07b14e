/** The commands that change the batch state, as they are proposed to the Raft log, and their outcomes. */
import {
  clusterConfigSchema,
  jobRequestSchema,
  runRefSchema,
  upstreamDescriptionSchema,
} from '@nettlespur/batch.model'
import { evacuationChangeSchema } from '@nettlespur/core.evacuations'
import { z } from 'zod'
import { crashBlameSchema } from './crashRecord.js'
import { silenceVerdictSchema } from './upstreamLosses.js'
import { upstreamSpeedSchema } from './upstreamSpeed.js'

/** How a run ended. */
export const runOutcomeSchema = z.enum([
  'done',
  'failed',
  /** Stopped on the leader's order. */
  'stopped',
  /** Its lease expired, its upstream left, or it was never started and will not be. */
  'lost',
  /** Its upstream crashed; without `isCertain` it may also have been silent, as earlier versions did not distinguish. */
  'crashed',
  /** Its upstream was silent until the lease had expired: it crashed, or it runs on and cannot be reached. */
  'silent',
  /** Another member of its gang ended, or not all members started in time. */
  'broken',
])
export type RunOutcome = z.infer<typeof runOutcomeSchema>

export const placementSchema = runRefSchema.extend({ upstreamId: z.string() })
export type Placement = z.infer<typeof placementSchema>

export const runEndSchema = placementSchema.extend({
  outcome: runOutcomeSchema,
  /** Absent or empty if the run saved none. */
  checkpoint: z.string().optional(),
  /** Only set with outcomes `crashed` and `silent`, and absent there if an earlier version proposed the end. */
  blame: crashBlameSchema.optional(),
  /** Set with outcome `silent` if a later process than the one that it was placed on ran it, and fell silent. */
  silentUpstreamId: z.string().optional(),
  /** Set with outcome `silent` if the run had been seen at work. */
  wasAtWork: z.literal(true).optional(),
  /** Set with outcome `crashed`. Absent if an earlier version proposed the end. */
  isCertain: z.literal(true).optional(),
  /**
   * Set if the task's record holds crashes as earlier versions counted them. The end removes those without certain guilt, as
   * they may have been silences. Absent otherwise, as for `isLate`.
   */
  dropsFormerCrashes: z.literal(true).optional(),
  /**
   * Set if the run was counted as lost before its upstream reported that it is done. Absent otherwise, so that earlier
   * versions can read the end; they reject a late one instead of ignoring it, as their states would differ.
   */
  isLate: z.literal(true).optional(),
  /**
   * Set if a task of the job has begun, neither the end nor the job's record shows it, and the job goes on. Absent
   * otherwise, as for `isLate`.
   */
  hasBegun: z.literal(true).optional(),
})
export type RunEnd = z.infer<typeof runEndSchema>

export const commandSchema = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('apply-config'), config: clusterConfigSchema }),
  z.strictObject({
    type: z.literal('submit-job'),
    request: jobRequestSchema,
    workspace: z.string(),
    queueName: z.string(),
  }),
  z.strictObject({ type: z.literal('cancel-job'), jobId: z.string() }),
  z.strictObject({ type: z.literal('place-tasks'), placements: z.array(placementSchema) }),
  z.strictObject({ type: z.literal('end-runs'), ends: z.array(runEndSchema) }),
  /** What was learned of upstreams that were silent under these runs. */
  z.strictObject({
    type: z.literal('settle-silences'),
    runs: z.array(placementSchema),
    verdict: silenceVerdictSchema,
  }),
  z.strictObject({
    type: z.literal('note-upstream'),
    description: upstreamDescriptionSchema,
    /** Sequence number of the announcement; absent if an earlier version proposed the command. */
    sequence: z.number().optional(),
  }),
  z.strictObject({ type: z.literal('drain-upstream'), upstreamId: z.string() }),
  z.strictObject({ type: z.literal('remove-upstream'), upstreamId: z.string() }),
  z.strictObject({ type: z.literal('change-evacuation'), change: evacuationChangeSchema }),
  z.strictObject({ type: z.literal('note-speeds'), speeds: z.array(upstreamSpeedSchema) }),
  z.strictObject({ type: z.literal('forget-jobs'), jobIds: z.array(z.string()) }),
  z.strictObject({ type: z.literal('forget-upstreams'), upstreamIds: z.array(z.string()) }),
])
export type Command = z.infer<typeof commandSchema>
export type CommandOf<T extends Command['type']> = Extract<Command, { type: T }>

/** Result of applying a command. */
export const commandOutcomes = [
  'done',
  /** The state already holds this change or a newer one, or the command does not apply. */
  'unchanged',
  'unknown-queue',
  'unknown-job',
  /** A job with the same id but different content exists. */
  'conflict',
  /** Another change was made after this one was requested. */
  'stale-revision',
] as const
export type CommandOutcome = (typeof commandOutcomes)[number]
