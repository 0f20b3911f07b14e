/**
 * Holds one connection pool per upstream address, created on first use. Unused pools are removed when a pool is to be
 * created while there are `poolCountBeforePruning` or more, and at least twice as many as the last removal left: a removal
 * looks at every pool, which would take longer than the calls if it was done for each new pool.
 */
import { ConnectionPool, type ConnectionPoolOptions } from './connectionPool.js'

const poolCountBeforePruning = 256

export class ConnectionPools {
  readonly #opts: ConnectionPoolOptions
  readonly #byAddress = new Map<string, ConnectionPool>()
  #pruneAtCount = poolCountBeforePruning

  constructor(opts: ConnectionPoolOptions) {
    this.#opts = opts
  }

  get(address: string): ConnectionPool {
    const known = this.#byAddress.get(address)
    if (known !== undefined) return known
    if (this.#byAddress.size >= this.#pruneAtCount) this.#removeUnused()
    const pool = new ConnectionPool(this.#opts)
    this.#byAddress.set(address, pool)
    return pool
  }

  /** Retires `pool`. If a newer pool has replaced it for `address`, the newer one stays. */
  retire(address: string, pool: ConnectionPool): void {
    if (this.#byAddress.get(address) === pool) this.#byAddress.delete(address)
    pool.retire()
  }

  destroyAll(): void {
    for (const pool of this.#byAddress.values()) pool.destroy()
    this.#byAddress.clear()
  }

  #removeUnused(): void {
    for (const [address, pool] of this.#byAddress) {
      if (pool.isUnused) this.#byAddress.delete(address)
    }
    this.#pruneAtCount = Math.max(poolCountBeforePruning, 2 * this.#byAddress.size)
  }
}
