/**
 * The leader's session with one upstream: sends start and stop orders, and while runs are placed there polls, renews the
 * one lease that covers them all and commits their ends. Ends are acknowledged only once they are committed.
 */
import type { Placement, RunEnd } from '@nettlespur/batch.state'
import { CallAnswers } from './callAnswers.js'
import { LeaseTracker } from './leaseTracker.js'
import type { LossCause } from './lossCause.js'
import { LostRuns } from './lostRuns.js'
import { PollCalls, type AnsweredPoll } from './pollCalls.js'
import { PollLists } from './pollLists.js'
import { PollLoop } from './pollLoop.js'
import type { RunTrack } from './runTrack.js'
import { RunTracks, type ReadonlyRunTracks } from './runTracks.js'
import { RunOrders } from './runOrders.js'
import { RunStarts } from './runStarts.js'
import { RunStops } from './runStops.js'
import { SessionFence } from './sessionFence.js'
import { retryPauseMs, type UpstreamSessionOptions } from './sessionOptions.js'
import { UpstreamEnding } from './upstreamEnding.js'
import type { StopAnswer, UpstreamTarget } from './upstreamPort.js'

export class UpstreamSession {
  readonly lease: LeaseTracker
  readonly answers = new CallAnswers()
  readonly #opts: UpstreamSessionOptions
  readonly #tracks: RunTracks
  readonly #lostRuns: LostRuns
  readonly #fence: SessionFence
  readonly #starts: RunStarts
  readonly #stops: RunStops
  readonly #lists: PollLists
  readonly #ending: UpstreamEnding
  readonly #polling: PollLoop
  readonly #openedAtMs: number
  /** The process to which the runs were passed on, which ends this session. */
  #successorId: string | undefined

  constructor(opts: UpstreamSessionOptions) {
    this.#opts = opts
    this.#openedAtMs = this.#nowMs()
    const { announcedId } = opts.target
    // Orders meant for earlier processes may have come before the first one of this session.
    const takeoverMs = opts.takeoverMs ?? (announcedId === undefined ? undefined : this.#openedAtMs)
    this.lease = new LeaseTracker({ leaseMs: opts.timings.leaseMs, takeoverMs })
    this.#fence = new SessionFence(opts.host)
    this.#tracks = new RunTracks(opts)
    this.#lostRuns = new LostRuns({ ...opts, tracks: this.#tracks })
    const shared = {
      ...opts,
      lease: this.lease,
      answers: this.answers,
      fence: this.#fence,
      tracks: this.#tracks,
      lostRuns: this.#lostRuns,
      listPlacements: () => this.#placements(),
      commitEnds: (ends: readonly RunEnd[]) => this.#commitEnds(ends),
    }
    const orders = new RunOrders(shared)
    this.#stops = new RunStops({
      ...shared,
      orders,
      isOver: () => this.#isOver(),
      handleAnswer: (answer) => this.#handleStopAnswer(answer),
    })
    this.#lists = new PollLists({ ...shared, stops: this.#stops })
    this.#starts = new RunStarts({
      ...shared,
      orders,
      stops: this.#stops,
      isReplaced: () => this.#successorId !== undefined,
      endCrashed: () => this.#ending.end('crashed'),
    })
    const commitLost = (cause: LossCause) => this.#commitLostEnds(cause)
    this.#ending = new UpstreamEnding({ ...opts, commitLost })
    const isWatched = (): boolean => this.#isWatched()
    this.#polling = new PollLoop({
      ...shared,
      calls: new PollCalls({ ...shared, isWatched }),
      lists: this.#lists,
      ending: this.#ending,
      isWatched,
      mayStartArrive: () => this.#mayStartArrive(),
      isOver: () => this.#isOver(),
      handleAnswer: (answered) => this.#handleAnswer(answered),
    })
  }

  get target(): UpstreamTarget {
    return this.#opts.target
  }

  get stops(): Pick<RunStops, 'stopRemoved' | 'stopIfNeeded'> {
    return this.#stops
  }

  get tracks(): ReadonlyRunTracks {
    return this.#tracks
  }

  /** Takes over from earlier leaders: the runs that they placed there, and the orders of theirs that may still come. */
  resume(): void {
    this.answers.startUnansweredAtMs = this.#nowMs()
    for (const placement of this.#placements().values()) this.#tracks.follow(placement, 'inherited')
    this.#polling.start()
  }

  /** Reads the ends of runs that were given up. To be called as the upstream is heard of again. */
  readLateEnds(): void {
    if (this.#ending.givenUpRuns > 0) this.pollOnce()
  }

  /** Polls at least once even if nothing is placed there, to learn whether the upstream answers and read its clock. */
  pollOnce(): void {
    this.#polling.pollOnce()
  }

  /** Sends the start order of a run whose placement is committed. */
  start(placement: Placement): void {
    void this.#starts.start(placement)
    this.#polling.start()
  }

  /** Whether it was opened before `timeMs`. If so, a process that answers a poll sent then is a later one. */
  isOlderThan(timeMs: number): boolean {
    return this.#openedAtMs < timeMs
  }

  /** Ends the session, and passes its runs on: the process `successorId` answers in place of this one. */
  replaceBy(successorId: string): void {
    if (this.#isOver()) return
    const { host, target } = this.#opts
    const runs = this.#placements().size
    this.#log('upstream.replaced', { successorId, runs, cursor: this.#lists.cursor.committed })
    this.#successorId = successorId
    host.noteReplaced({ target, successorId, tracks: [...this.#tracks.byKey.values()] })
  }

  /** Takes over the runs of a replaced process. A poll under a new fence shows what came of them, and ends late orders. */
  adopt(tracks: readonly RunTrack[]): void {
    this.answers.startUnansweredAtMs = this.#nowMs()
    this.#fence.renew()
    this.lease.noteTakeover(this.#nowMs())
    this.#tracks.adopt(tracks)
    this.#tracks.keepOnly(this.#placements())
    this.pollOnce()
  }

  #placements(): ReadonlyMap<string, Placement> {
    return this.#opts.host.listPlacements(this.#opts.target.upstreamId)
  }

  #nowMs(): number {
    return this.#opts.clock.monotonicMs()
  }

  #isOver(): boolean {
    return this.#ending.isOver || this.#successorId !== undefined || this.#opts.signal.aborted
  }

  /** Whether runs may be there, or may yet start there. */
  #isWatched(): boolean {
    return this.#placements().size > 0 || this.#mayStartArrive()
  }

  /** Whether a later process may execute a start order of this session, until it has seen the fence of its own one. */
  #mayStartArrive(): boolean {
    if (this.#opts.target.announcedId === undefined) return false
    return this.answers.mayStartArrive(this.#nowMs())
  }

  async #handleAnswer({ answer, sentAtMs, cursor }: AnsweredPoll): Promise<void> {
    if (this.#isOver()) return
    if (answer.type === 'gone') return this.#handleGone(answer.successorId)
    if (answer.type === 'fence') {
      this.#log('upstream.fenced', { fence: this.#fence.token })
      this.#fence.renew()
      return this.#opts.clock.sleep(retryPauseMs, this.#opts.signal)
    }
    this.#noteAnsweredAgain()
    this.#noteListed()
    if (this.#opts.host.noteAnswered(this.#opts.target, sentAtMs))
      await this.#lists.apply({ ...answer, sentAtMs, cursor })
    else this.pollOnce()
  }

  /** Its runs were given up, and it is the same process: it has not crashed. */
  #noteAnsweredAgain(): void {
    const { givenUpRuns } = this.#ending
    if (givenUpRuns === 0) return
    this.#ending.givenUpRuns = 0
    this.#log('upstream.answers-again', { givenUpRuns })
  }

  #noteListed(): void {
    if (this.answers.hasListed) return
    this.answers.hasListed = true
    if (this.#opts.target.announcedId !== undefined) this.lease.noteTakeover(this.#nowMs())
  }

  async #handleGone(successorId?: string): Promise<void> {
    if (successorId === undefined) await this.#ending.end('crashed')
    else this.replaceBy(successorId)
  }

  async #commitEnds(ends: readonly RunEnd[]): Promise<boolean> {
    if (ends.length === 0) return true
    this.#tracks.noteEnds(ends, this.answers.unansweredAtMs)
    if (!(await this.#opts.host.commitEnds(ends))) return false
    for (const end of ends) this.#tracks.remove(end)
    return true
  }

  async #handleStopAnswer(answer: StopAnswer): Promise<void> {
    this.lease.clock.noteAnswer(answer.clockMs, this.#nowMs())
    if (answer.type === 'gone') await this.#ending.end('crashed')
  }

  #commitLostEnds(cause: LossCause): Promise<boolean> {
    return this.#commitEnds(this.#lostRuns.listEnds([...this.#placements().values()], cause))
  }

  #log(event: string, fields: Readonly<Record<string, string | number | undefined>>): void {
    this.#opts.logger.info({ event, upstreamId: this.#opts.target.upstreamId, ...fields })
  }
}
