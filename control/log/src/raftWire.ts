/** The wire format of Raft messages: JSON, with bytes encoded as base64. */
import {
  appendRequestSchema,
  installRequestSchema,
  sentEntrySchema,
  type AppendRequest,
  type InstallRequest,
} from '@nettlespur/consensus.raft'
import { z } from 'zod'

const bytesSchema = z.base64().transform((text) => Buffer.from(text, 'base64'))

export const wireAppendSchema = appendRequestSchema.extend({
  entries: z.array(sentEntrySchema.extend({ payload: bytesSchema })),
})
export type WireAppend = z.input<typeof wireAppendSchema>

export const wireInstallSchema = installRequestSchema.extend({ data: bytesSchema })
export type WireInstall = z.input<typeof wireInstallSchema>

export function toWireAppend(request: AppendRequest): WireAppend {
  const entries = request.entries.map(({ term, payload }) => ({
    term,
    payload: payload.toString('base64'),
  }))
  return { ...request, entries }
}

export function toWireInstall(request: InstallRequest): WireInstall {
  return { ...request, data: request.data.toString('base64') }
}
