/**
 * Passes the announcements that a relay receives on to the leader in batches. Each is answered with the leader's own
 * outcome for it, so that none is acknowledged that the leader has not handled.
 */
import type { Announcement } from '@nettlespur/batch.model'
import type { Clock } from '@nettlespur/core.clock'
import {
  fromRpcResult,
  NettlespurError,
  toErrorBody,
  type RpcResult,
} from '@nettlespur/core.errors'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import { EitherAsync } from 'purify-ts'
import { announcementsMax } from './batchApi.js'

/** An announcement waits this long for others that it can be sent with. */
const batchMs = 20

export interface AnnouncementBatchesOptions {
  clock: Clock
  metrics: MetricsRegistry
  send: (announcements: readonly Announcement[]) => EitherAsync<NettlespurError, RpcResult<null>[]>
}

interface WaitingAnnouncement {
  readonly announcement: Announcement
  readonly settle: (result: RpcResult<null>) => void
}

export class AnnouncementBatches {
  readonly #opts: AnnouncementBatchesOptions
  #waiting: WaitingAnnouncement[] = []

  constructor(opts: AnnouncementBatchesOptions) {
    this.#opts = opts
  }

  announce(announcement: Announcement): EitherAsync<NettlespurError, null> {
    const result = new Promise<RpcResult<null>>((settle) => {
      this.#waiting.push({ announcement, settle })
    })
    if (this.#waiting.length === 1) {
      this.#opts.clock.setTimer(batchMs, () => {
        this.#sendWaiting()
      })
    }
    return EitherAsync.fromPromise(async () => fromRpcResult(await result))
  }

  #sendWaiting(): void {
    while (this.#waiting.length > 0) void this.#send(this.#waiting.splice(0, announcementsMax))
  }

  async #send(batch: readonly WaitingAnnouncement[]): Promise<void> {
    const { send, metrics } = this.#opts
    metrics.count('relayed_announcements_total', batch.length)
    const outcome = await send(batch.map(({ announcement }) => announcement)).run()
    batch.forEach(({ settle }, at) => {
      const error = outcome.caseOf({ Left: toErrorBody, Right: () => missingAnswer })
      const results = outcome.orDefault([])
      settle(results[at] ?? { ok: false, error })
    })
  }
}

const missingAnswer = toErrorBody(
  new NettlespurError('outcome-unknown', 'the leader has not answered for this announcement'),
)
