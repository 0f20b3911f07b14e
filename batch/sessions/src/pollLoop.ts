/**
 * Polls one upstream for as long as runs are placed there, or may yet start there, and gives them up once it has been
 * silent until their lease is over.
 */
import type { Placement } from '@nettlespur/batch.state'
import type { Clock } from '@nettlespur/core.clock'
import { describeFault } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import type { LeaseTracker } from './leaseTracker.js'
import type { LossCause } from './lossCause.js'
import type { AnsweredPoll, PollCalls } from './pollCalls.js'
import type { PollLists } from './pollLists.js'
import type { RunTracks } from './runTracks.js'
import type { SessionHost } from './sessionHost.js'
import { retryPauseMs } from './sessionOptions.js'
import type { UpstreamEnding } from './upstreamEnding.js'
import type { UpstreamTarget } from './upstreamPort.js'

export interface PollLoopOptions {
  target: UpstreamTarget
  host: Pick<SessionHost, 'findUpstream'>
  lease: LeaseTracker
  tracks: RunTracks
  calls: PollCalls
  lists: PollLists
  ending: UpstreamEnding
  clock: Clock
  logger: Logger
  signal: AbortSignal
  /** The runs placed on the upstream, by run key. */
  listPlacements: () => ReadonlyMap<string, Placement>
  /** Whether runs may be there, or may yet start there. */
  isWatched: () => boolean
  /** Whether a later process may execute a start order of this session. */
  mayStartArrive: () => boolean
  /** Whether the session has ended. */
  isOver: () => boolean
  /** Resolves once the answer has taken effect on the session. */
  handleAnswer: (answered: AnsweredPoll) => Promise<void>
}

export class PollLoop {
  readonly #opts: PollLoopOptions
  #isPolling = false
  #isPollRequested = false

  constructor(opts: PollLoopOptions) {
    this.#opts = opts
  }

  /** Polls until it is no longer needed. */
  start(): void {
    if (this.#isPolling) return
    this.#isPolling = true
    void this.#pollUntilStopped()
  }

  /** Never rejects: a fault of the program ends the polls for a moment, and they go on. */
  async #pollUntilStopped(): Promise<void> {
    const { target, tracks, clock, logger, signal, listPlacements } = this.#opts
    try {
      await this.#pollWhileNeeded()
    } catch (thrown) {
      const { upstreamId } = target
      logger.error({ event: 'session.failed', upstreamId, ...describeFault(thrown) })
      await clock.sleep(retryPauseMs, signal)
    }
    this.#isPolling = false
    // Nothing else drops a run that is no longer placed, and one on trial would block the upstream for good.
    tracks.keepOnly(listPlacements())
    if (this.#shouldPoll()) this.start()
  }

  /** Polls at least once even if nothing is placed there. */
  pollOnce(): void {
    this.#isPollRequested = true
    this.start()
  }

  #shouldPoll(): boolean {
    const { lists, isOver, isWatched } = this.#opts
    if (isOver()) return false
    if (this.#isPollRequested || lists.mayHaveMoreEnds) return true
    return lists.cursor.hasUnacknowledged || isWatched()
  }

  async #pollWhileNeeded(): Promise<void> {
    const { tracks, ending, clock, signal, listPlacements } = this.#opts
    while (this.#shouldPoll()) {
      const isAnswered = await this.#poll()
      if (!isAnswered) this.#giveUpIfSilent()
      else if (tracks.hasLongUnlisted(clock.monotonicMs())) this.#giveUpAfterLease('unlisted')
      if (isAnswered) continue
      await clock.sleep(retryPauseMs, signal)
      // Its shutdown may have been announced as the connection broke; another poll could wait in vain for seconds.
      if (this.#hasLeft() && listPlacements().size === 0) await ending.end('left')
    }
  }

  /** An upstream that has announced its shutdown may run on for a moment, cut off from here, so that its lease counts too. */
  #giveUpIfSilent(): void {
    this.#giveUpAfterLease(this.#hasLeft() ? 'left' : 'lease-over')
  }

  #hasLeft(): boolean {
    const { target, host } = this.#opts
    return host.findUpstream(target.upstreamId)?.hasLeft === true
  }

  /** Does nothing while a start order may still arrive: a later process, which has none of these leases, would execute it. */
  #giveUpAfterLease(cause: LossCause): void {
    const { lease, ending, mayStartArrive } = this.#opts
    if (!mayStartArrive()) ending.giveUpAfterLease(lease, cause)
  }

  /** Resolves to false if no answer came. */
  async #poll(): Promise<boolean> {
    const { lists, calls, clock, handleAnswer } = this.#opts
    this.#isPollRequested = false
    const answered = await calls.poll(lists.cursor.committed)
    if (answered !== undefined) await handleAnswer(answered)
    // Yields to other work of this process, in case the upstream always answers at once.
    await clock.sleep(0)
    return answered !== undefined
  }
}
