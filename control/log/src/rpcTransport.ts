/**
 * Carries Raft messages over tRPC. A call that misses its deadline fails and its connection is closed, so
 * that a connection that has gone silent is replaced. Heartbeats check each connection.
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
import { callPeer, RpcClients, type RpcClient } from '@nettlespur/rpc.peer'
import type { RaftRouter } from './createRaftRouter.js'
import { toWireAppend, toWireInstall, wirePayloadBytesMax } from './raftWire.js'

export interface RpcTransportOptions {
  clock: Clock
  peerKey: string
  /** Deadline of each call in milliseconds; must be well below the election timeout. */
  timeoutMs: number
  ca?: Buffer | undefined
  /** As in `RpcClientOptions`. */
  compresses?: boolean | undefined
}

type Caller = RpcClient<RaftRouter>['call']['raft']

export class RpcTransport extends RaftTransport {
  readonly payloadBytesMax = wirePayloadBytesMax
  readonly #clients: RpcClients<RaftRouter>

  constructor(opts: RpcTransportOptions) {
    super()
    this.#clients = new RpcClients(opts)
  }

  requestVote(to: Member, request: VoteRequest): Promise<VoteAnswer> {
    return this.#call(to, (call) => call.vote.mutate(request))
  }

  appendEntries(to: Member, request: AppendRequest): Promise<AppendAnswer> {
    const wire = toWireAppend(request)
    return this.#call(to, (call) => call.append.mutate(wire))
  }

  installSnapshot(to: Member, request: InstallRequest): Promise<InstallAnswer> {
    const wire = toWireInstall(request)
    return this.#call(to, (call) => call.install.mutate(wire))
  }

  async timeoutNow(to: Member, request: TimeoutNowRequest): Promise<void> {
    await this.#call(to, (call) => call.timeoutNow.mutate(request))
  }

  close(): void {
    this.#clients.close()
  }

  async #call<T>(
    { peerAddress }: Member,
    run: (call: Caller) => Promise<RpcResult<T>>,
  ): Promise<T> {
    const client = this.#clients.get(peerAddress)
    return unwrap(callPeer(() => run(client.call.raft)))
  }
}
