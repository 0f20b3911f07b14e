/** A route that shows the stand-in's faults: calls held without an answer, late and truncated answers. */
import { Readable } from 'node:stream'
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError, tryAsync, unwrap } from '@nettlespur/core.errors'
import type { HttpMethod, HttpReply, HttpRequest, Route } from '@nettlespur/net.server'
import type { CallKind, Faults } from './faults.js'

export interface HeldRouteContext {
  clock: Clock
  faults: Faults
  /** Aborted when the stand-in ends: held calls then lose their connection. */
  stopSignal: AbortSignal
}

export function createHeldRoute(
  context: HeldRouteContext,
  kind: CallKind,
  method: HttpMethod,
  path: string,
  handle: Route['handle'],
): Route {
  const handleWithFaults = async (request: HttpRequest): Promise<HttpReply> => {
    const { stall, loseAnswers, answerDelayMs, truncateAnswers } = context.faults.settings
    if (stall.includes(kind)) await hold(context, request)
    const reply = await unwrap(handle(request))
    if (loseAnswers.includes(kind)) await hold(context, request)
    if (answerDelayMs > 0) await context.clock.sleep(answerDelayMs, context.stopSignal)
    return truncateAnswers ? truncate(reply) : reply
  }
  return { method, path, handle: (request) => tryAsync(() => handleWithFaults(request)) }
}

/** Keeps the call open until its caller or the stand-in goes; it never gets an answer. */
async function hold(context: HeldRouteContext, request: HttpRequest): Promise<never> {
  const { heldCalls } = context.faults
  heldCalls.next(heldCalls.value + 1)
  await Promise.race([whenAborted(request.callerGone), whenAborted(context.stopSignal)])
  heldCalls.next(heldCalls.value - 1)
  request.raw.socket.destroy()
  throw new NettlespurError('outcome-unknown', 'the call was held without an answer')
}

function whenAborted(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve()
  return new Promise((resolve) => {
    signal.addEventListener(
      'abort',
      () => {
        resolve()
      },
      { once: true },
    )
  })
}

/** Announces the whole length and breaks off halfway. JSON answers stay whole. */
function truncate(reply: HttpReply): HttpReply {
  if (reply.bytes === undefined) return reply
  const whole = Buffer.from(reply.bytes)
  const half = whole.subarray(0, Math.floor(whole.length / 2))
  const { status, headers } = reply
  return {
    status,
    headers: { ...headers, 'content-length': String(whole.length) },
    stream: Readable.from(breakOffAfter(half)),
  }
}

function* breakOffAfter(bytes: Buffer): Generator<Buffer> {
  yield bytes
  throw new Error('the answer breaks off here')
}
