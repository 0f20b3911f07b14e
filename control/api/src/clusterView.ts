/** The cluster view that entries get by watching control: contracts, upstreams and the other entries. */
import {
  addressSchema,
  announcementSchema,
  contractRecordSchema,
  countSchema,
  durationMsSchema,
  identifierSchema,
  upstreamViewSchema,
} from '@nettlespur/api.schemas'
import { z } from 'zod'

/** The identity and addresses of an entry. */
export const entryIdentitySchema = z.object({
  entryId: identifierSchema,
  /** Address on which the entry serves callers. */
  address: addressSchema,
  /** Address on which the entry serves other entries. */
  peerAddress: addressSchema,
  dataCentre: identifierSchema,
})
export type EntryIdentity = z.infer<typeof entryIdentitySchema>

/**
 * A long poll for changes. `contractIndex` and `upstreamVersion` are the positions up to which the entry has
 * received contracts and upstreams; the contracts up to its position are in force at the entry.
 */
export const watchRequestSchema = z.object({
  entry: entryIdentitySchema,
  /** Identifies the leadership to which the positions belong; empty in the first request. */
  epoch: z.string(),
  contractIndex: countSchema,
  upstreamVersion: countSchema,
  waitMs: durationMsSchema,
  /** True if the entry is about to stop; it is then no longer listed to other entries. */
  leaving: z.boolean(),
})
export type WatchRequest = z.infer<typeof watchRequestSchema>

/** The changes since the positions of the request, or the full view if the request has another `epoch`. */
export const clusterUpdateSchema = z.object({
  epoch: z.string(),
  contractIndex: countSchema,
  contracts: z.array(contractRecordSchema),
  upstreamVersion: countSchema,
  upstreams: z.array(upstreamViewSchema),
  entries: z.array(entryIdentitySchema),
  /** How long the contracts may be enforced without another update, counted from the sending of the request. */
  contractLeaseMs: durationMsSchema,
})
export type ClusterUpdate = z.infer<typeof clusterUpdateSchema>

/** Announcements of upstreams that an entry received and forwards to control. */
export const announcementsSchema = z.object({
  items: z.array(z.object({ upstreamId: identifierSchema, announcement: announcementSchema })),
})
export type Announcements = z.infer<typeof announcementsSchema>
