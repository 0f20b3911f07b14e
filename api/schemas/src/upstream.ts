/** What upstreams announce, and the table of them that entries and control keep. */
import { z } from 'zod'
import {
  addressSchema,
  byteCountSchema,
  countSchema,
  cpuCoresSchema,
  durationMsSchema,
  identifierSchema,
} from './fields.js'
import { taskReportSchema } from './task.js'

export const announcedStateSchema = z.enum(['ready', 'leaving'])

/** One announcement; it replaces what the upstream said before. */
export const announcementSchema = z.strictObject({
  address: addressSchema,
  dataCentre: identifierSchema,
  rack: identifierSchema,
  slots: countSchema,
  cpuCores: cpuCoresSchema,
  memoryBytes: byteCountSchema,
  accelerators: countSchema,
  state: announcedStateSchema,
  tasks: z.array(taskReportSchema).max(1024),
  /** Differs with each start of an upstream that keeps no records of its tasks over a restart. */
  session: z.string().max(64).optional(),
})
export type Announcement = z.infer<typeof announcementSchema>

/** The answer to an announcement: when the next one is due. */
export const announcementAnswerSchema = z.object({ nextAnnouncementMs: durationMsSchema })

export const upstreamStateSchema = z.enum([
  'ready',
  'leaving',
  'suspect',
  'gone',
  'quarantined',
  /** It gets no new work as its data centre is evacuated; what runs there goes on. */
  'evacuated',
])
export type UpstreamState = z.infer<typeof upstreamStateSchema>

/** An upstream as the cluster sees it. */
export const upstreamViewSchema = z.object({
  upstreamId: identifierSchema,
  address: addressSchema,
  dataCentre: identifierSchema,
  rack: identifierSchema,
  slots: countSchema,
  cpuCores: cpuCoresSchema,
  memoryBytes: byteCountSchema,
  accelerators: countSchema,
  state: upstreamStateSchema,
  session: z.string().optional(),
})
export type UpstreamView = z.infer<typeof upstreamViewSchema>
