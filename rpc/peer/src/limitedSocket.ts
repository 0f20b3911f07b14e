/**
 * A WebSocket for the tRPC client that sends no message over the size limit. The peer would close the connection on one,
 * which fails all calls on it; here only the call that is too large is refused.
 */
import { WebSocket } from 'ws'
import { messageBytesMax, tooLargeCode } from './messageCodec.js'

/** Longest UTF-8 form of one UTF-16 code unit. */
const bytesPerCodeUnitMax = 3

interface SentCall {
  readonly id: unknown
}

export class LimitedSocket extends WebSocket {
  /** `message` is the JSON text of one call, or of an array of calls that were made at the same time. */
  override send(message: string): void {
    if (fits(message)) {
      super.send(message)
      return
    }
    const calls = JSON.parse(message) as SentCall | SentCall[]
    for (const call of Array.isArray(calls) ? calls : [calls]) this.#sendOrRefuse(call)
  }

  #sendOrRefuse(call: SentCall): void {
    const message = JSON.stringify(call)
    if (fits(message)) super.send(message)
    else this.#answerTooLarge(call.id, Buffer.byteLength(message))
  }

  /** Emits the answer of a peer that has refused the call. */
  #answerTooLarge(id: unknown, bytes: number): void {
    const message = `the call takes ${bytes} bytes, and a message at most ${messageBytesMax}`
    const error = { message, code: -32_600, data: { code: tooLargeCode } }
    const answer = Buffer.from(JSON.stringify({ id, error }))
    queueMicrotask(() => {
      this.emit('message', answer, false)
    })
  }
}

function fits(message: string): boolean {
  if (message.length * bytesPerCodeUnitMax <= messageBytesMax) return true
  return Buffer.byteLength(message) <= messageBytesMax
}
