/** Splits calls into batches that stay well below the longest message between members. */
import type { PendingCall } from './pendingCall.js'

const countMax = 128
const payloadCharsMax = 1_000_000

export function splitBatches(calls: readonly PendingCall[]): PendingCall[][] {
  const batches: PendingCall[][] = []
  let batch: PendingCall[] = []
  let payloadChars = 0
  for (const call of calls) {
    const chars = countPayloadChars(call)
    const isFull = batch.length >= countMax || payloadChars + chars > payloadCharsMax
    if (batch.length > 0 && isFull) {
      batches.push(batch)
      batch = []
      payloadChars = 0
    }
    batch.push(call)
    payloadChars += chars
  }
  if (batch.length > 0) batches.push(batch)
  return batches
}

function countPayloadChars({ order }: PendingCall): number {
  return order.type === 'start' ? order.payload.length + order.checkpoint.length : 0
}
