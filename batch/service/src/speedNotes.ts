/**
 * Commits what the leader has learned of the speeds of upstreams, so that the next leader starts from it. Nothing depends
 * on a commit: if it fails, the next one has the same estimates or newer ones.
 */
import type { BatchState, UpstreamSpeed } from '@nettlespur/batch.state'
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { TryPropose } from './proposer.js'
import type { SpeedLearner } from './speedLearner.js'

/** Speeds change over tens of seconds; more commits would only cost what other commands need. */
const noteEveryMs = 2000
/** Bounds the size of a command. The rest follows with the next one. */
const notedMax = 64
/** A mean that has moved by less hardly changes a decision. */
const movedShareMin = 0.1
/** The number of upstreams named in a log line: those whose estimates have moved most. */
const namedMax = 8

export interface SpeedNotesOptions {
  clock: Clock
  logger: Logger
  learner: SpeedLearner
  getState: () => BatchState
  tryPropose: TryPropose
  signal: AbortSignal
}

interface Move {
  readonly speed: UpstreamSpeed
  /** Logarithm of the factor between the committed mean and the new one, without its sign. */
  readonly distance: number
}

export class SpeedNotes {
  readonly #opts: SpeedNotesOptions

  constructor(opts: SpeedNotesOptions) {
    this.#opts = opts
  }

  async run(): Promise<void> {
    const { clock, signal, learner } = this.#opts
    const isOver = (): boolean => signal.aborted
    while (!isOver()) {
      await clock.sleep(noteEveryMs, signal)
      if (isOver()) return
      learner.clean()
      await this.#note()
    }
  }

  async #note(): Promise<void> {
    const { logger, tryPropose } = this.#opts
    const moves = this.#listMoves()
    const noted = moves.slice(0, notedMax)
    if (noted.length === 0) return
    const speeds = noted.map(({ speed }) => speed)
    const isCommitted = await tryPropose({ type: 'note-speeds', speeds })
    const most = speeds.slice(0, namedMax)
    logger.info({
      event: 'speeds.noted',
      outcome: isCommitted ? 'committed' : 'not-committed',
      noted: noted.length,
      left: moves.length - noted.length,
      most: most.map(({ upstreamId, mean }) => `${upstreamId}=${mean}`).join(),
    })
  }

  /** Lists the estimates to commit, those that have moved most first. */
  #listMoves(): Move[] {
    const { clock, learner, getState } = this.#opts
    const nowMs = clock.monotonicMs()
    const { upstreams, speeds } = getState()
    const moves: Move[] = []
    for (const [upstreamId, { hasLeft }] of upstreams) {
      const committed = speeds.get(upstreamId)
      if (hasLeft || (committed === undefined && !learner.get(upstreamId, nowMs).isKnown)) continue
      const { mean, logSpread } = learner.speeds.getEstimate(upstreamId, nowMs)
      const distance = Math.abs(Math.log(mean / (committed?.mean ?? 1)))
      if (committed !== undefined && distance < Math.log(1 + movedShareMin)) continue
      const speed = { upstreamId, mean: toThousandths(mean), logSpread: toThousandths(logSpread) }
      moves.push({ speed, distance })
    }
    return moves.sort((one, other) => other.distance - one.distance)
  }
}

/** Rounds to three decimal places, but not to 0. That keeps commands and log lines short. */
function toThousandths(value: number): number {
  return Math.max(Math.round(value * 1000) / 1000, 0.001)
}
