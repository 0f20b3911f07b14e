/**
 * The configuration of the whole cluster. It is replaced as one document; the highest version is in force.
 */
import { countSchema, durationMsSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'

/** A place where jobs are handed in, and how its jobs are treated. */
export const queueConfigSchema = z.strictObject({
  name: z.string(),
  /** Value of the `Host` header that leads here. */
  host: z.string(),
  /** Begins the path of each call; the longest one that fits wins. */
  pathPrefix: z.string(),
  /** The pool of upstreams that runs its tasks. */
  pool: z.string(),
  /** 0 comes first. */
  priority: countSchema,
  /** Runs of one task that may fail before its job has failed. */
  attemptsMax: countSchema,
  /** A job is on time within this many times its longest chain of work, and `targetLatencyMs` more. */
  stretch: z.number().nonnegative(),
  targetLatencyMs: durationMsSchema,
  /** Callers need no key. */
  anonymous: z.boolean(),
})
export type QueueConfig = z.infer<typeof queueConfigSchema>

export const poolConfigSchema = z.strictObject({
  name: z.string(),
  /** Open connections that one upstream takes. */
  connectionsMax: countSchema,
  /** Its upstreams refuse by themselves what exceeds their capacity. */
  guardsCapacity: z.boolean(),
})
export type PoolConfig = z.infer<typeof poolConfigSchema>

export const workspaceConfigSchema = z.strictObject({
  name: z.string(),
  keys: z.array(z.string()),
  /** Accelerators that its jobs of priority 0 can have at any time. */
  guaranteedAccelerators: countSchema,
})
export type WorkspaceConfig = z.infer<typeof workspaceConfigSchema>

export const clusterConfigSchema = z.strictObject({
  version: countSchema,
  queues: z.array(queueConfigSchema),
  pools: z.array(poolConfigSchema),
  workspaces: z.array(workspaceConfigSchema),
  /** The document as the operator sent it, which reads give back unchanged. */
  source: z.string(),
})
export type ClusterConfig = z.infer<typeof clusterConfigSchema>
