/** Holds one RPC client per peer address, created on first use; all are closed together. */
import type { AnyTRPCRouter } from '@trpc/server'
import { createRpcClient, type RpcClient } from './createRpcClient.js'
import type { RpcClientOptions } from './rpcClientOptions.js'

/** Options shared by all clients. */
export type RpcClientsOptions = Omit<RpcClientOptions, 'address'>

export class RpcClients<R extends AnyTRPCRouter> {
  readonly #opts: RpcClientsOptions
  readonly #byAddress = new Map<string, RpcClient<R>>()

  constructor(opts: RpcClientsOptions) {
    this.#opts = opts
  }

  get(address: string): RpcClient<R> {
    const known = this.#byAddress.get(address)
    if (known !== undefined) return known
    const client = createRpcClient<R>({ ...this.#opts, address })
    this.#byAddress.set(address, client)
    return client
  }

  close(): void {
    for (const client of this.#byAddress.values()) client.close()
  }
}
