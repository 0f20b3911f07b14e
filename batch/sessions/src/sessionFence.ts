/**
 * The fencing token of a session. Each session has one above all issued before it, so that an upstream that has seen it
 * executes no order that was meant for an earlier process.
 */
import type { SessionHost } from './sessionHost.js'

export class SessionFence {
  readonly #host: SessionHost
  #token: number

  constructor(host: SessionHost) {
    this.#host = host
    this.#token = host.issueFence()
  }

  get token(): number {
    return this.#token
  }

  /** Shuts out all orders sent so far, once the upstream has seen the new token. */
  renew(): void {
    this.#token = this.#host.issueFence()
  }
}
