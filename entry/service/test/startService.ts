import type { ExecutionContext } from 'ava'
import type { Contract } from '@nettlespur/api.schemas'
import { SystemClock, type Clock } from '@nettlespur/core.clock'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import { createContract, FakeControl, RecordingLogger } from '@nettlespur/entry.fakes'
import { RequestRouter, type ShortAnswer, type ShortRequest } from '@nettlespur/entry.requests'
import { ClusterView } from '@nettlespur/entry.view'
import { callHttp, type HttpAnswer } from '@nettlespur/net.client'
import { createKey, hashKey } from '@nettlespur/net.keys'
import { createHttpServer } from '@nettlespur/net.server'
import { tryAsync } from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'
import type { NettlespurError } from '@nettlespur/core.errors'
import { AccessControl, AnnouncementRelay, createEntryRoutes, DrainState } from '../src/index.js'

/** A router that answers each request with the request's own body. */
export class EchoRouter extends RequestRouter {
  readonly requests: ShortRequest[] = []

  override run(request: ShortRequest): EitherAsync<NettlespurError, ShortAnswer> {
    this.requests.push(request)
    return tryAsync(() =>
      Promise.resolve({
        status: 201,
        contentType: request.contentType,
        body: request.body,
        lengthBytes: request.body.length,
        taskId: 'task-1',
        attempt: 1,
        upstreamId: 'u1',
      }),
    )
  }

  override abandonAll(): void {
    this.requests.length = 0
  }
}

export interface SendOptions {
  key?: string | undefined
  headers?: Record<string, string>
  body?: string
}

const bodyBytesMax = 4096

/** The routes over loopback HTTP, with keys required and the contract of `thapa` in force. */
export async function startService(t: ExecutionContext, clock: Clock = new SystemClock()) {
  const keys = { caller: createKey(), operator: createKey(), upstream: createKey() }
  const control = new FakeControl(clock)
  const contract: Contract = createContract({ keys: [{ id: 'k1', sha256: hashKey(keys.caller) }] })
  control.putContract(contract)
  const logger = new RecordingLogger()
  const view = new ClusterView({ clock, logger })
  view.apply(control.createUpdate(), clock.monotonicMs())
  const router = new EchoRouter()
  const drain = new DrainState()
  const relay = new AnnouncementRelay({ clock, logger, control })
  const access = new AccessControl({
    view,
    keysRequired: true,
    operatorKeys: [keys.operator],
    upstreamKeys: [keys.upstream],
  })
  const routes = createEntryRoutes({
    ...{ clock, logger, control, view, router, access, relay, drain },
    metrics: new MetricsRegistry(),
    requestDeadlineMs: 30_000,
    announceEveryMs: 1000,
  })
  const server = await createHttpServer({ address: '127.0.0.1:0', routes, bodyBytesMax })
  t.teardown(async () => {
    view.lease.end()
    server.destroy()
    await server.drain()
  })
  const send = async (
    method: string,
    path: string,
    opts: SendOptions = {},
  ): Promise<HttpAnswer> => {
    const authorization = opts.key === undefined ? {} : { authorization: `Bearer ${opts.key}` }
    const sent = await callHttp({
      clock: new SystemClock(),
      address: server.address,
      method,
      path,
      headers: { ...authorization, ...opts.headers },
      ...(opts.body === undefined ? {} : { body: opts.body }),
      timeoutMs: 20_000,
    }).run()
    return sent.unsafeCoerce()
  }
  return { control, view, router, drain, relay, logger, keys, contract, send }
}

export type Service = Awaited<ReturnType<typeof startService>>

export function readJson(answer: HttpAnswer): Record<string, unknown> {
  return JSON.parse(answer.body.toString('utf8')) as Record<string, unknown>
}

export const goodJob = {
  workspace: 'thapa',
  gang: { accelerators: 2, adjacency: 'upstream' },
  cpuCores: 1,
  memoryBytes: 1,
  expectedRunTimeMs: 1,
  repeatable: true,
}
