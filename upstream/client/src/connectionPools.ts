/** One connection pool for each upstream address, made on first use and dropped when many stand unused. */
import { ConnectionPool, type ConnectionPoolOptions } from './connectionPool.js'

const poolCountBeforePruning = 256

export class ConnectionPools {
  readonly #opts: ConnectionPoolOptions
  readonly #byAddress = new Map<string, ConnectionPool>()

  constructor(opts: ConnectionPoolOptions) {
    this.#opts = opts
  }

  get(address: string): ConnectionPool {
    const known = this.#byAddress.get(address)
    if (known !== undefined) return known
    if (this.#byAddress.size >= poolCountBeforePruning) this.#removeUnused()
    const pool = new ConnectionPool(this.#opts)
    this.#byAddress.set(address, pool)
    return pool
  }

  /** Retires `pool`; a later pool of the same address stays. */
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
  }
}
