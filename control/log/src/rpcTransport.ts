/**
 * Carries the messages of agreement over tRPC. A call without an answer by its deadline is given up and its
 * connection closed, so that one which has gone silent is replaced; heartbeats check each connection.
 */
import {
  RaftTransport,
  type AppendAnswer,
  type AppendRequest,
  type InstallAnswer,
  type InstallRequest,
  type Member,
  type TimeoutNowRequest,
  type VoteAnswer,
  type VoteRequest,
} from '@nettlespur/consensus.raft'
import type { Clock } from '@nettlespur/core.clock'
import { unwrap, type RpcResult } from '@nettlespur/core.errors'
import { callPeer, createRpcClient, type RpcClient } from '@nettlespur/rpc.peer'
import type { RaftRouter } from './createRaftRouter.js'
import { toWireAppend, toWireInstall } from './raftWire.js'

export interface RpcTransportOptions {
  clock: Clock
  peerKey: string
  /** Bounds every call; single ones may have less. */
  timeoutMs: number
  ca?: Buffer | undefined
}

type Caller = RpcClient<RaftRouter>['call']['raft']

interface CallOptions {
  readonly signal: AbortSignal
}

export class RpcTransport extends RaftTransport {
  readonly #opts: RpcTransportOptions
  readonly #clients = new Map<string, RpcClient<RaftRouter>>()

  constructor(opts: RpcTransportOptions) {
    super()
    this.#opts = opts
  }

  requestVote(to: Member, request: VoteRequest, timeoutMs: number): Promise<VoteAnswer> {
    return this.#call(to, timeoutMs, (call, opts) => call.vote.mutate(request, opts))
  }

  appendEntries(to: Member, request: AppendRequest, timeoutMs: number): Promise<AppendAnswer> {
    const wire = toWireAppend(request)
    return this.#call(to, timeoutMs, (call, opts) => call.append.mutate(wire, opts))
  }

  installSnapshot(to: Member, request: InstallRequest, timeoutMs: number): Promise<InstallAnswer> {
    const wire = toWireInstall(request)
    return this.#call(to, timeoutMs, (call, opts) => call.install.mutate(wire, opts))
  }

  async timeoutNow(to: Member, request: TimeoutNowRequest, timeoutMs: number): Promise<void> {
    await this.#call(to, timeoutMs, (call, opts) => call.timeoutNow.mutate(request, opts))
  }

  close(): void {
    for (const client of this.#clients.values()) client.close()
  }

  async #call<T>(
    { peerAddress }: Member,
    timeoutMs: number,
    run: (call: Caller, opts: CallOptions) => Promise<RpcResult<T>>,
  ): Promise<T> {
    const late = new AbortController()
    const timer = this.#opts.clock.setTimer(timeoutMs, () => {
      late.abort()
    })
    const client = this.#getClient(peerAddress)
    try {
      return await unwrap(callPeer(() => run(client.call.raft, { signal: late.signal })))
    } finally {
      timer.cancel()
    }
  }

  #getClient(address: string): RpcClient<RaftRouter> {
    const known = this.#clients.get(address)
    if (known !== undefined) return known
    const client = createRpcClient<RaftRouter>({ ...this.#opts, address })
    this.#clients.set(address, client)
    return client
  }
}
