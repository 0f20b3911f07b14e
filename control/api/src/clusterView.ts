/** What entries learn by watching control: the contracts, the upstreams, and each other. */
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

/** How one entry introduces itself. */
export const entryIdentitySchema = z.object({
  entryId: identifierSchema,
  /** Where callers reach it. */
  address: addressSchema,
  /** Where other entries reach it. */
  peerAddress: addressSchema,
  dataCentre: identifierSchema,
})
export type EntryIdentity = z.infer<typeof entryIdentitySchema>

/** A long poll. The positions say what the entry already holds, and so what is in force there. */
export const watchRequestSchema = z.object({
  entry: entryIdentitySchema,
  /** Which leadership the positions belong to; empty at first. */
  epoch: z.string(),
  contractIndex: countSchema,
  upstreamVersion: countSchema,
  waitMs: durationMsSchema,
  /** True when the entry is about to stop: it is told to no one any more. */
  leaving: z.boolean(),
})
export type WatchRequest = z.infer<typeof watchRequestSchema>

/** What changed since the positions of the request; everything, where `epoch` differs from it. */
export const clusterUpdateSchema = z.object({
  epoch: z.string(),
  contractIndex: countSchema,
  contracts: z.array(contractRecordSchema),
  upstreamVersion: countSchema,
  upstreams: z.array(upstreamViewSchema),
  entries: z.array(entryIdentitySchema),
  /** From the moment the request was sent, how long the contracts may be enforced without a further update. */
  contractLeaseMs: durationMsSchema,
})
export type ClusterUpdate = z.infer<typeof clusterUpdateSchema>

/** Announcements an entry received and passes on. */
export const announcementsSchema = z.object({
  items: z.array(z.object({ upstreamId: identifierSchema, announcement: announcementSchema })),
})
export type Announcements = z.infer<typeof announcementsSchema>
