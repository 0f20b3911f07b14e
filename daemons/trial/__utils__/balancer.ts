/**
 * A tiny balancer: it asks each entry's readiness again and again and hands calls to the ready ones in turn.
 * A call of which no byte left goes to the next one, as a balancer would do.
 */
import { SystemClock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import { callEntry, type CallEntryOptions, type EntryAnswer } from './callEntry.js'

const askAgainMs = 50
const askTimeoutMs = 500
const clock = new SystemClock()

export interface BalancerOptions {
  addresses: readonly string[]
  key: string
}

export class Balancer {
  readonly #opts: BalancerOptions
  readonly #stopping = new AbortController()
  readonly #ready = new Set<string>()
  #turn = 0

  constructor(opts: BalancerOptions) {
    this.#opts = opts
    for (const address of opts.addresses) void this.#watch(address)
  }

  /** Addresses that take work now. */
  get ready(): readonly string[] {
    return [...this.#ready]
  }

  /** Errors: rejects with `unreachable` where every ready entry is, and as `callEntry` does. */
  async call(opts: Omit<CallEntryOptions, 'address' | 'key'>): Promise<EntryAnswer> {
    let last: unknown = new NettlespurError('unreachable', 'no entry is ready')
    for (const address of this.#inTurn()) {
      try {
        return await callEntry({ ...opts, address, key: this.#opts.key })
      } catch (thrown) {
        last = thrown
        if (!(thrown instanceof NettlespurError) || thrown.kind !== 'unreachable') break
        this.#ready.delete(address)
      }
    }
    throw last
  }

  stop(): void {
    this.#stopping.abort()
  }

  #inTurn(): string[] {
    const ready = [...this.#ready]
    const first = this.#turn++ % Math.max(1, ready.length)
    return [...ready.slice(first), ...ready.slice(0, first)]
  }

  async #watch(address: string): Promise<void> {
    const { signal } = this.#stopping
    while (!signal.aborted) {
      if (await this.#isReady(address)) this.#ready.add(address)
      else this.#ready.delete(address)
      await clock.sleep(askAgainMs, signal)
    }
  }

  async #isReady(address: string): Promise<boolean> {
    const asked = { address, key: this.#opts.key, method: 'GET', path: '/readyz' }
    try {
      return (await callEntry({ ...asked, timeoutMs: askTimeoutMs })).status === 200
    } catch {
      return false
    }
  }
}
