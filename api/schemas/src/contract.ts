/**
 * The contract of one workspace: the only thing operators change, and the source of every limit that is
 * enforced for it.
 */
import { z } from 'zod'
import { countSchema, identifierSchema, positiveCountSchema } from './fields.js'

const highestWeight = 1000

/** How close the accelerators of one gang must be: one upstream, one rack, or anywhere. */
export const adjacencySchema = z.enum(['upstream', 'rack', 'none'])
export type Adjacency = z.infer<typeof adjacencySchema>

/** A set of accelerators that belong together. */
export const shapeSchema = z.strictObject({
  accelerators: positiveCountSchema,
  adjacency: adjacencySchema,
})
export type Shape = z.infer<typeof shapeSchema>

/** A shape the workspace can always reclaim, `count` times over. */
export const guaranteeSchema = shapeSchema.extend({ count: positiveCountSchema })
export type Guarantee = z.infer<typeof guaranteeSchema>

/** A caller's key, kept as the SHA-256 of a random key of at least 128 bits. */
export const workspaceKeySchema = z.strictObject({
  id: identifierSchema,
  sha256: z.string().regex(/^[0-9a-f]{64}$/, 'must be 64 lower-case hexadecimal digits'),
})

/** The limits enforced over the whole cluster. */
export const contractLimitsSchema = z.strictObject({
  requestsPerSecond: z.number().positive(),
  requestBurst: positiveCountSchema,
  concurrentRequests: positiveCountSchema,
  queuedRequests: countSchema,
  queuedJobs: countSchema,
  concurrentAccelerators: countSchema,
  largestGangAccelerators: countSchema,
  retriesPerSecond: z.number().nonnegative(),
})
export type ContractLimits = z.infer<typeof contractLimitsSchema>

export const contractSchema = z.strictObject({
  workspace: identifierSchema,
  /** Share of borrowed capacity relative to other workspaces. */
  weight: z.number().positive().max(highestWeight),
  keys: z.array(workspaceKeySchema).max(16),
  guarantees: z.array(guaranteeSchema).max(64),
  limits: contractLimitsSchema,
})
export type Contract = z.infer<typeof contractSchema>

/** A contract with the revision it was accepted as; revisions count from 1 for each workspace. */
export const contractRecordSchema = z.object({
  contract: contractSchema,
  revision: positiveCountSchema,
  /** Position of the change in the order of all changes of the cluster. */
  changeIndex: positiveCountSchema,
})
export type ContractRecord = z.infer<typeof contractRecordSchema>

/** One operator's change of one contract. */
export const contractChangeSchema = z.object({
  changeId: z.string().min(1).max(200),
  /** The revision the operator saw; 0 for a new contract. */
  expectedRevision: countSchema,
  contract: contractSchema,
})
export type ContractChange = z.infer<typeof contractChangeSchema>
