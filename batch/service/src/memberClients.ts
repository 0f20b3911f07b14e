/** The connections to the members, and the query that asks a member which one leads. */
import type { Clock } from '@nettlespur/core.clock'
import { toNettlespurError } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import { limitCall, RpcClients } from '@nettlespur/rpc.peer'
import type { LeaderView } from './batchApi.js'
import type { BatchRouter } from './createBatchRouter.js'
import type { LeaderFinderOptions } from './leaderFinderOptions.js'

/** A member answers from memory; over links of 1 ms this leaves time to resend a lost packet. */
const locateTimeoutMs = 300

export class MemberClients extends RpcClients<BatchRouter> {
  readonly #clock: Clock
  readonly #logger: Logger

  constructor(opts: LeaderFinderOptions) {
    super({ ...opts, timeoutMs: opts.callTimeoutMs })
    this.#clock = opts.clock
    this.#logger = opts.logger
  }

  /**
   * Asks a member for its view of the leader. Returns undefined if it does not answer in time; a late answer still goes
   * to `onAnswer`. A member that does not answer may be up behind a dead connection, so the next query opens a new one.
   */
  async queryLeader(
    address: string,
    onAnswer: (view: LeaderView) => void,
  ): Promise<LeaderView | undefined> {
    const answered = new AbortController()
    const timeout = this.#clock.sleep(locateTimeoutMs, answered.signal).then(() => undefined)
    const answer = this.get(address)
      .call.batch.locateLeader.mutate(undefined, limitCall({ silentAfterMs: locateTimeoutMs }))
      .then((view) => {
        onAnswer(view)
        return view
      })
      .catch((thrown: unknown) => {
        const reason = toNettlespurError(thrown).message
        this.#logger.debug({ event: 'member.silent', address, reason })
        return undefined
      })
    const view = await Promise.race([answer, timeout])
    answered.abort()
    return view
  }
}
