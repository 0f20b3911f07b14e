/**
 * The calls that entries, operators and upstreams make to control. The leader answers them; any member tells who the
 * leader is. Every call is idempotent and may be retried.
 */
import { addressSchema } from '@nettlespur/api.schemas'
import {
  jobRequestSchema,
  type Announcement,
  type ClusterConfig,
  type JobState,
} from '@nettlespur/batch.model'
import type { Evacuation, EvacuationChange } from '@nettlespur/core.evacuations'
import type { Member } from '@nettlespur/consensus.raft'
import {
  toRpcResult,
  tryAsync,
  type NettlespurError,
  type RpcResult,
} from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'
import { z } from 'zod'
import type { CallerWait } from './callerWait.js'

/** The address and key of a caller's request for a queue or one of its jobs. */
export const queueCallSchema = z.object({
  host: z.string(),
  path: z.string(),
  key: z.string().optional(),
})
export type QueueCall = z.infer<typeof queueCallSchema>

export const jobCallSchema = queueCallSchema.extend({ jobId: z.string() })
export type JobCall = z.infer<typeof jobCallSchema>

export const submitCallSchema = queueCallSchema.extend({ request: jobRequestSchema })
export type SubmitCall = z.infer<typeof submitCallSchema>

export const leaderViewSchema = z.object({
  /** Peer address of the leader; absent if this member knows none. */
  leaderAddress: addressSchema.optional(),
  term: z.number(),
  /** Peer addresses of all members. */
  memberAddresses: z.array(addressSchema),
})
export type LeaderView = z.infer<typeof leaderViewSchema>

/** Announcements in one call, at most. */
export const announcementsMax = 512

export const upstreamIdSchema = z.object({ upstreamId: z.string() })

export abstract class BatchApi {
  /** Resolves once the job is stored. Errors: `unknown-route`, `unauthorized`, `idempotency-conflict`, `no-config`. */
  abstract submitJob(call: SubmitCall, wait?: CallerWait): EitherAsync<NettlespurError, null>
  /** Errors: `unknown-job`, and as `submitJob`. */
  abstract cancelJob(call: JobCall, wait?: CallerWait): EitherAsync<NettlespurError, null>
  /** Errors: as `cancelJob`. */
  abstract getJobState(call: JobCall, wait?: CallerWait): EitherAsync<NettlespurError, JobState>
  /** Counts the queue's active jobs of which no task has started. Errors: as `submitJob`. */
  abstract countPending(call: QueueCall, wait?: CallerWait): EitherAsync<NettlespurError, number>
  /** Resolves once this configuration, or one with the same or a higher version, is stored. */
  abstract applyConfig(config: ClusterConfig): EitherAsync<NettlespurError, null>
  /** The source text of the newest configuration, as it was sent. Errors: `no-config`. */
  abstract readConfig(): EitherAsync<NettlespurError, string>
  /** Every data centre that the leader knows, with the state of its evacuation. */
  abstract listEvacuations(wait?: CallerWait): EitherAsync<NettlespurError, Evacuation[]>
  /**
   * Resolves once the change is stored, or if what it asks for is in force already. Errors: `overtaken` if another change
   * has been made since the expected revision.
   */
  abstract changeEvacuation(
    change: EvacuationChange,
    wait?: CallerWait,
  ): EitherAsync<NettlespurError, null>
  abstract announce(announcement: Announcement): EitherAsync<NettlespurError, null>
  /** Takes the announcements that a relay passes on together. Resolves with the outcome of each, in their order. */
  announceMany(
    announcements: readonly Announcement[],
  ): EitherAsync<NettlespurError, RpcResult<null>[]> {
    return tryAsync(() =>
      Promise.all(announcements.map((announcement) => toRpcResult(this.announce(announcement)))),
    )
  }

  /** Removes an upstream that is shutting down now. */
  abstract leave(upstreamId: string): EitherAsync<NettlespurError, null>
  /** Adds a member to control; no effect if it is one already. */
  abstract join(member: Member): EitherAsync<NettlespurError, null>
}
