/** Answers requests that Node's HTTP parser rejects, for which no request object exists. */
import http from 'node:http'
import { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { NettlespurError, toErrorBody } from '@nettlespur/core.errors'

export function answerClientError(cause: NodeJS.ErrnoException, socket: Duplex): void {
  // If no byte was received, there is no request to answer: the caller would take an error sent now for the
  // answer to its first request.
  const isUnused = socket instanceof Socket && socket.bytesRead === 0
  if (!socket.writable || cause.code === 'ECONNRESET' || isUnused) {
    socket.destroy()
    return
  }
  const kind = cause.code === 'HPE_HEADER_OVERFLOW' ? 'headers-too-large' : 'malformed-json'
  const error = new NettlespurError(
    kind,
    'the request is not readable HTTP or its headers are too large',
  )
  const body = JSON.stringify(toErrorBody(error))
  const status = `${error.answer.httpStatus} ${http.STATUS_CODES[error.answer.httpStatus] ?? ''}`
  socket.end(
    `HTTP/1.1 ${status}\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`,
  )
}
