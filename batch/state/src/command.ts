/** Every change of the state: what is proposed to the log. */
import {
  clusterConfigSchema,
  jobRequestSchema,
  runRefSchema,
  upstreamDescriptionSchema,
} from '@nettlespur/batch.model'
import { z } from 'zod'
import { crashBlameSchema } from './crashRecord.js'

/** How a run ended. */
export const runOutcomeSchema = z.enum([
  'done',
  'failed',
  /** It was stopped on an order. */
  'stopped',
  /** Its lease ran out, or its upstream has left, or it never began and never will. */
  'lost',
  /** Its upstream crashed under it, or fell silent for good. */
  'crashed',
  /** Another member of its gang ended. */
  'broken',
])
export type RunOutcome = z.infer<typeof runOutcomeSchema>

export const placementSchema = runRefSchema.extend({ upstreamId: z.string() })
export type Placement = z.infer<typeof placementSchema>

export const runEndSchema = placementSchema.extend({
  outcome: runOutcomeSchema,
  /** Absent where none was saved during the run. */
  checkpoint: z.string().optional(),
  /** With outcome `crashed`. */
  blame: crashBlameSchema.optional(),
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
  z.strictObject({
    type: z.literal('note-upstream'),
    description: upstreamDescriptionSchema,
    /** Of the announcement; absent where a former version proposed it. */
    sequence: z.number().optional(),
  }),
  z.strictObject({ type: z.literal('drain-upstream'), upstreamId: z.string() }),
  z.strictObject({ type: z.literal('remove-upstream'), upstreamId: z.string() }),
  z.strictObject({ type: z.literal('forget-jobs'), jobIds: z.array(z.string()) }),
  z.strictObject({ type: z.literal('forget-upstreams'), upstreamIds: z.array(z.string()) }),
])
export type Command = z.infer<typeof commandSchema>
export type CommandOf<T extends Command['type']> = Extract<Command, { type: T }>

/** What became of a command. */
export const commandOutcomes = [
  'done',
  /** The state held this already, or something newer. */
  'unchanged',
  'unknown-queue',
  'unknown-job',
  /** The same id stands for other content. */
  'conflict',
] as const
export type CommandOutcome = (typeof commandOutcomes)[number]
