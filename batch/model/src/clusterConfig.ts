/** The configuration of the whole cluster. It is replaced as one document; the highest version is in force. */
import { countSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'

/** A queue to which jobs are submitted, and how its jobs are scheduled. */
export const queueConfigSchema = z.strictObject({
  name: z.string(),
  /** `Host` header of calls to this queue. */
  host: z.string(),
  /** Prefix of the paths of calls to this queue; the longest matching prefix wins. */
  pathPrefix: z.string(),
  /** The pool of upstreams that run its tasks. */
  pool: z.string(),
  /** 0 is the highest priority. */
  priority: countSchema,
  /** Failed runs of one task, or failed attempts of one gang, after which the job fails. */
  attemptsMax: countSchema,
  /** A job is on time within this many times its longest chain of dependent steps, plus `targetLatencyMs`. */
  stretch: z.number().nonnegative(),
  /** In milliseconds. Earlier versions committed numbers beyond the safe integers, which must stay readable. */
  targetLatencyMs: z.number().nonnegative(),
  /** Calls are accepted without a key. */
  anonymous: z.boolean(),
})
export type QueueConfig = z.infer<typeof queueConfigSchema>

export const poolConfigSchema = z.strictObject({
  name: z.string(),
  /** Maximum number of open connections to one upstream. */
  connectionsMax: countSchema,
  /** Its upstreams refuse starts that exceed their capacity. */
  guardsCapacity: z.boolean(),
})
export type PoolConfig = z.infer<typeof poolConfigSchema>

export const workspaceConfigSchema = z.strictObject({
  name: z.string(),
  keys: z.array(z.string()),
  /** Accelerators that its jobs of priority 0 can claim at any time, by preemption if needed. */
  guaranteedAccelerators: countSchema,
})
export type WorkspaceConfig = z.infer<typeof workspaceConfigSchema>

export const clusterConfigSchema = z.strictObject({
  version: countSchema,
  queues: z.array(queueConfigSchema),
  pools: z.array(poolConfigSchema),
  workspaces: z.array(workspaceConfigSchema),
  /** The document as the operator sent it; reads return it unchanged. */
  source: z.string(),
})
export type ClusterConfig = z.infer<typeof clusterConfigSchema>
