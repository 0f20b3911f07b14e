/**
 * Calls one peer's tRPC router over a keep-alive connection of Node's http, with a deadline on each call.
 * A peer that cannot be reached, or does not answer whole, is an error of the table.
 */
import http from 'node:http'
import https from 'node:https'
import type { Clock } from '@nettlespur/core.clock'
import {
  fromRpcResult,
  NettlespurError,
  toNettlespurError,
  unwrap,
  type RpcResult,
} from '@nettlespur/core.errors'
import { callHttp, toAnswerError, type HttpAnswer } from '@nettlespur/http.client'
import { formatBearerKey } from '@nettlespur/http.keys'
import { createTRPCClient, httpLink, TRPCClientError, type TRPCClient } from '@trpc/client'
import type { AnyTRPCRouter } from '@trpc/server'
import { EitherAsync } from 'purify-ts'

const socketsMax = 8
const unauthorizedStatus = 401

export interface RpcClientOptions {
  clock: Clock
  /** `IP:PORT` of the peer. */
  address: string
  peerKey: string
  /** Deadline of each call, in milliseconds. */
  timeoutMs: number
  ca?: Buffer | undefined
}

export interface RpcClient<R extends AnyTRPCRouter> {
  readonly call: TRPCClient<R>
  /** Closes its connections. */
  close(): void
}

export function createRpcClient<R extends AnyTRPCRouter>(opts: RpcClientOptions): RpcClient<R> {
  const agent = createAgent(opts)
  // The link's options depend on the router's transformer, which a generic router leaves open.
  const link = httpLink({ url: `http://${opts.address}`, fetch: createFetch(opts, agent) } as never)
  return {
    call: createTRPCClient<R>({ links: [link] }),
    close: () => {
      agent.destroy()
    },
  }
}

/** Runs one procedure that answers with an RpcResult. Errors: the procedure's own, `unreachable`, `outcome-unknown`. */
export function callPeer<T>(run: () => Promise<RpcResult<T>>): EitherAsync<NettlespurError, T> {
  return EitherAsync<unknown, RpcResult<T>>(run)
    .mapLeft(toPeerError)
    .chain((result) => EitherAsync.liftEither(fromRpcResult(result)))
}

function toPeerError(thrown: unknown): NettlespurError {
  const cause = thrown instanceof TRPCClientError ? (thrown.cause ?? thrown) : thrown
  if (cause instanceof NettlespurError) return cause
  return new NettlespurError('outcome-unknown', toNettlespurError(cause).message, { cause })
}

function createAgent({ ca }: RpcClientOptions): http.Agent {
  const limits = { keepAlive: true, maxSockets: socketsMax }
  return ca === undefined ? new http.Agent(limits) : new https.Agent(limits)
}

interface FetchInit {
  method?: string
  headers?: unknown
  body?: unknown
  signal?: AbortSignal | null
}

/** The part of fetch that tRPC uses, on Node's http. */
function createFetch(opts: RpcClientOptions, agent: http.Agent) {
  return async (input: unknown, init: FetchInit = {}) => {
    const url = new URL(String(input))
    const answer = await unwrap(
      callHttp({
        clock: opts.clock,
        address: opts.address,
        method: init.method ?? 'GET',
        path: url.pathname + url.search,
        headers: {
          ...(init.headers as Record<string, string>),
          authorization: formatBearerKey(opts.peerKey),
        },
        ...(typeof init.body === 'string' ? { body: init.body } : {}),
        timeoutMs: opts.timeoutMs,
        signal: init.signal ?? undefined,
        agent,
        ca: opts.ca,
      }),
    )
    if (answer.status === unauthorizedStatus) throw toAnswerError(answer)
    return toResponse(answer)
  }
}

function toResponse(answer: HttpAnswer) {
  return {
    ok: answer.status >= 200 && answer.status < 300,
    status: answer.status,
    json: () => Promise.resolve(JSON.parse(answer.body.toString('utf8')) as unknown),
  }
}
