/** Health and figures of a control instance over HTTP. */
import type { ControlNode } from '@nettlespur/control.service'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import type { HttpReply, Route } from '@nettlespur/net.server'
import { EitherAsync, Right } from 'purify-ts'

const readyStatus = 200
const notReadyStatus = 503

/** An instance is ready where it leads or knows who does. */
export function createStatusRoutes(node: ControlNode, metrics: MetricsRegistry): readonly Route[] {
  return [
    createGet('/healthz', () => ({ status: readyStatus, json: { state: 'alive' } })),
    createGet('/readyz', () => {
      const ready = node.knowsLeader
      return {
        status: ready ? readyStatus : notReadyStatus,
        json: { state: ready ? 'ready' : 'not-ready', leads: node.isLeader },
      }
    }),
    createGet('/metrics', () => ({
      status: readyStatus,
      headers: { 'content-type': 'text/plain; version=0.0.4' },
      bytes: metrics.render(),
    })),
  ]
}

function createGet(path: string, reply: () => HttpReply): Route {
  return { method: 'GET', path, handle: () => EitherAsync.liftEither(Right(reply())) }
}
