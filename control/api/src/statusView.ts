/** The status and reports of the cluster for operators. */
import {
  addressSchema,
  countSchema,
  identifierSchema,
  upstreamViewSchema,
} from '@nettlespur/api.schemas'
import { z } from 'zod'

/** A control instance to be added to the consensus group. */
export const newMemberSchema = z.strictObject({
  memberId: identifierSchema,
  /** Address on which it serves the other control instances and the entries. */
  peerAddress: addressSchema,
  dataCentre: identifierSchema,
})
export type NewMember = z.infer<typeof newMemberSchema>

export const memberViewSchema = z.object({
  memberId: identifierSchema,
  peerAddress: z.string(),
  dataCentre: identifierSchema,
  role: z.enum(['leader', 'voter', 'learner']),
  /** Number of log entries by which this member lags behind the leader. */
  lagEntries: countSchema,
  /** Milliseconds since the leader last heard from it. */
  silentMs: countSchema,
})
export type MemberView = z.infer<typeof memberViewSchema>

export const clusterStatusSchema = z.object({
  leaderId: identifierSchema.optional(),
  term: countSchema,
  commitIndex: countSchema,
  /** Age of the newest snapshot in milliseconds; absent if there is none. */
  snapshotAgeMs: countSchema.optional(),
  members: z.array(memberViewSchema),
  entries: z.array(z.object({ entryId: identifierSchema, contractIndex: countSchema })),
  upstreams: z.array(upstreamViewSchema),
  jobs: z.record(z.string(), countSchema),
})
export type ClusterStatus = z.infer<typeof clusterStatusSchema>

const quantilesSchema = z.object({
  count: countSchema,
  meanMs: z.number(),
  p50Ms: z.number(),
  p99Ms: z.number(),
})

/** Completion times of jobs from submission to end, and the share of free capacity each shape cannot use. */
export const clusterReportSchema = z.object({
  cluster: z.object({
    completion: quantilesSchema,
    freeAccelerators: countSchema,
    totalAccelerators: countSchema,
  }),
  workspaces: z.array(z.object({ workspace: identifierSchema, completion: quantilesSchema })),
  /** For each guaranteed or waiting shape, the share (0 to 1) of free accelerators it cannot use. */
  fragmentation: z.array(
    z.object({
      accelerators: z.int().positive(),
      adjacency: z.enum(['upstream', 'rack', 'none']),
      unusableShare: z.number().min(0).max(1),
    }),
  ),
})
export type ClusterReport = z.infer<typeof clusterReportSchema>
