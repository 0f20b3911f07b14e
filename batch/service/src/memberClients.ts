/** One connection to each member that is asked or called, made on first use. */
import { toNettlespurError } from '@nettlespur/core.errors'
import { createRpcClient, limitCall, type RpcClient } from '@nettlespur/rpc.peer'
import type { LeaderView } from './batchApi.js'
import type { BatchRouter } from './createBatchRouter.js'
import type { LeaderFinderOptions } from './leaderFinder.js'

/** A member answers who leads from memory; over links of 1 ms this leaves room for a lost packet. */
const locateTimeoutMs = 300

export class MemberClients {
  readonly #opts: LeaderFinderOptions
  readonly #byAddress = new Map<string, RpcClient<BatchRouter>>()

  constructor(opts: LeaderFinderOptions) {
    this.#opts = opts
  }

  get(address: string): RpcClient<BatchRouter> {
    const known = this.#byAddress.get(address)
    if (known !== undefined) return known
    const { callTimeoutMs: timeoutMs } = this.#opts
    const client = createRpcClient<BatchRouter>({ ...this.#opts, address, timeoutMs })
    this.#byAddress.set(address, client)
    return client
  }

  /**
   * Whom the member says to lead; undefined where it says nothing in time. `onAnswer` is told of a late answer too. A
   * member that says nothing may be up behind a connection gone silent: the next question opens another.
   */
  async askLeader(
    address: string,
    onAnswer: (view: LeaderView) => void,
  ): Promise<LeaderView | undefined> {
    const answered = new AbortController()
    const late = this.#opts.clock.sleep(locateTimeoutMs, answered.signal).then(() => undefined)
    const asked = this.get(address)
      .call.batch.locateLeader.mutate(undefined, limitCall({ silentAfterMs: locateTimeoutMs }))
      .then((view) => {
        onAnswer(view)
        return view
      })
      .catch((thrown: unknown) => {
        const reason = toNettlespurError(thrown).message
        this.#opts.logger.debug({ event: 'member.silent', address, reason })
        return undefined
      })
    const view = await Promise.race([asked, late])
    answered.abort()
    return view
  }

  close(): void {
    for (const client of this.#byAddress.values()) client.close()
  }
}
