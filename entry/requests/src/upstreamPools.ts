/** Connection pools by upstream address. */
import { UpstreamPool, type UpstreamPoolOptions } from './upstreamPool.js'

const poolsKeptMax = 128

export class UpstreamPools {
  readonly #opts: UpstreamPoolOptions
  readonly #pools = new Map<string, UpstreamPool>()

  constructor(opts: UpstreamPoolOptions) {
    this.#opts = opts
  }

  of(address: string): UpstreamPool {
    const known = this.#pools.get(address)
    if (known !== undefined) return known
    if (this.#pools.size >= poolsKeptMax) this.#forgetIdle()
    const made = new UpstreamPool(this.#opts)
    this.#pools.set(address, made)
    return made
  }

  close(): void {
    for (const pool of this.#pools.values()) pool.close()
  }

  #forgetIdle(): void {
    for (const [address, pool] of this.#pools) {
      if (pool.isIdle) this.#pools.delete(address)
    }
  }
}
