/** The wire format of Raft messages: JSON, with bytes encoded as base64. */
import {
  appendRequestSchema,
  installRequestSchema,
  sentEntrySchema,
  type AppendRequest,
  type InstallRequest,
} from '@nettlespur/consensus.raft'
import { messageBytesMax } from '@nettlespur/rpc.peer'
import { z } from 'zod'

/** What an append request with one entry has besides the payload. */
const envelopeBytesMax = 4096
/** Base64 takes four characters for three bytes. */
const bytesPerBase64Character = 3 / 4

/** Longest payload of one entry that fits into a message to a peer. */
export const wirePayloadBytesMax = Math.floor(
  (messageBytesMax - envelopeBytesMax) * bytesPerBase64Character,
)

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
