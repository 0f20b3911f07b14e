/**
 * Fake of one process lifetime of an upstream, as the platform describes it: fencing, a lease on its own clock,
 * capacity, attempts, and ends that stay listed until they are acknowledged. Its clock and its numbers of ends begin
 * with it. Violations are recorded in the ledger.
 */
import { createProcessId, runKey, taskKey, type RunRef } from '@nettlespur/batch.model'
import type {
  FinishedOutcome,
  HoldAnswer,
  HoldOrder,
  StartAnswer,
  StartOrder,
  StopAnswer,
  StopOrder,
} from '@nettlespur/batch.sessions'
import type { Clock, Timer } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import { EndList } from './endList.js'
import type { HeldRun } from './heldRun.js'
import type { FleetLedger } from './fleetLedger.js'

const stopDurationMs = 300
/** Starts beyond a reduced capacity count as violations only after this time: the next announcement may be delayed. */
const shrinkGraceMs = 4500
/** Delay from the start of a crashing run to the crash. */
const crashAfterMs = 10

export interface FakeUpstreamOptions {
  upstreamId: string
  /** When its process started, by its wall clock; absent if it does not say. */
  bornMs?: number
  /**
   * Whether an end is forgotten as it comes if its number is not above the highest cursor seen, in addition to the
   * ends held when a cursor arrives.
   */
  remembersCursor?: boolean
  address: string
  clock: Clock
  /** Rate of its own clock relative to `clock`: from 0.98 to 1. */
  clockRate: number
  ledger: FleetLedger
  /** Whether it refuses runs that exceed its capacity (the default); otherwise it starts them. */
  guardsCapacity?: boolean
  /** How fast it works, 1 by default. If set, it reports the progress of its runs; otherwise always 0. */
  speed?: number
  /** Called when a run crashes the upstream; the callback has to call `crash`. */
  onCrashingRun?: () => void
}

export class FakeUpstream {
  readonly upstreamId: string
  readonly address: string
  readonly speed: number | undefined
  isUp = true
  /** Whether it says when it was born; otherwise it is like an upstream of which each process has another id. */
  statesBirth = true
  readonly #opts: FakeUpstreamOptions
  readonly #held = new Map<string, HeldRun>()
  /** The highest attempt of each task that ended or was stopped here, by task key. */
  readonly #closedAttempts = new Map<string, number>()
  readonly #ends: EndList
  readonly #startedAtMs: number
  #fence = 0
  #leaseEndMs = 0
  #leaseTimer: Timer | undefined
  readonly #waiters = new Set<() => void>()
  #accelerators: number
  #shrunkAtMs = -Infinity
  #isCapacityAnnounced = true

  constructor(opts: FakeUpstreamOptions) {
    this.#opts = opts
    this.#accelerators = opts.ledger.acceleratorsEach
    this.#startedAtMs = opts.clock.monotonicMs()
    this.#ends = new EndList({
      remembersCursor: opts.remembersCursor === true,
      onAcknowledged: (run) => {
        opts.ledger.noteAcknowledged(run)
      },
    })
    this.upstreamId = opts.upstreamId
    this.address = opts.address
    this.speed = opts.speed
    opts.ledger.addUpstream(this)
  }

  get clockMs(): number {
    const upMs = this.#opts.clock.monotonicMs() - this.#startedAtMs
    return Math.floor(upMs * this.#opts.clockRate) + 1000
  }

  get bornMs(): number | undefined {
    return this.statesBirth ? this.#opts.bornMs : undefined
  }

  /** The id of this process alone: `upstreamId` may be that of earlier ones too. */
  get processId(): string {
    return createProcessId(this.upstreamId, this.bornMs)
  }

  /** Its current number of accelerators, as reported in its announcements. */
  get accelerators(): number {
    return this.#accelerators
  }

  /** Changes the number of accelerators while it is up. */
  resize(accelerators: number): void {
    if (accelerators < this.#accelerators) this.#shrunkAtMs = this.#opts.clock.monotonicMs()
    this.#accelerators = accelerators
    this.#isCapacityAnnounced = false
  }

  /** Records an announcement. After a reduction `shrinkGraceMs` counts from the first answered announcement. */
  noteAnnounced(isAnswered: boolean): void {
    if (this.#isCapacityAnnounced) return
    this.#isCapacityAnnounced = isAnswered
    if (this.#shrunkAtMs > -Infinity) this.#shrunkAtMs = this.#opts.clock.monotonicMs()
  }

  start({ run, leaseEndMs, fence }: StartOrder): StartAnswer {
    const { ledger, clock } = this.#opts
    const clockMs = this.clockMs
    if (fence < this.#fence) return { type: 'refused', reason: 'fence', clockMs }
    this.#fence = fence
    if (leaseEndMs <= clockMs) return { type: 'refused', reason: 'lease-over', clockMs }
    this.#renewLease(leaseEndMs)
    if (this.#held.has(runKey(run))) return { type: 'started', clockMs }
    if ((this.#closedAttempts.get(taskKey(run)) ?? 0) >= run.attempt) {
      return { type: 'refused', reason: 'superseded', clockMs }
    }
    const needs = ledger.needsOf(run)
    const startedAtMs = clock.monotonicMs()
    if (this.#countUsedAccelerators() + needs.accelerators > this.#accelerators) {
      if (this.#opts.guardsCapacity !== false)
        return { type: 'refused', reason: 'no-room', clockMs }
      if (startedAtMs - this.#shrunkAtMs > shrinkGraceMs) ledger.noteOvercommitted(run)
    }
    this.#held.set(runKey(run), { run, needs, startedAtMs, isStopping: false })
    ledger.noteStart(run, this)
    if (ledger.shouldCrash(run)) this.#crashSoon(run)
    return { type: 'started', clockMs }
  }

  stop({ run, fence }: StopOrder): StopAnswer {
    const clockMs = this.clockMs
    if (fence < this.#fence) return { type: 'fence', clockMs }
    this.#fence = fence
    this.#closeAttempt(run)
    const held = this.#held.get(runKey(run))
    if (held !== undefined && !held.isStopping) {
      held.isStopping = true
      this.#opts.clock.setTimer(stopDurationMs, () => {
        this.end(run, 'stopped')
      })
    }
    return { type: 'stopping', clockMs }
  }

  async hold({ leaseEndMs, fence, cursor, waitMs }: HoldOrder): Promise<HoldAnswer> {
    if (fence < this.#fence) return { type: 'fence', clockMs: this.clockMs }
    this.#fence = fence
    if (leaseEndMs !== undefined) this.#renewLease(leaseEndMs)
    this.#ends.acknowledge(cursor)
    if (waitMs > 0 && this.#ends.isEmpty) await this.#waitForEnd(this.#opts.clock, waitMs)
    if (!this.isUp) throw new NettlespurError('outcome-unknown', 'the connection broke')
    return {
      type: 'held',
      clockMs: this.clockMs,
      running: [...this.#held.values()].map(({ run }) => ({
        run,
        checkpoint: '',
        progressPercent: this.#opts.ledger.readProgress(run, this),
      })),
      finished: this.#ends.list(),
      unreadRows: 0,
    }
  }

  /** Ends the run; does nothing if it has ended before or the upstream is down. */
  end(run: RunRef, outcome: FinishedOutcome): void {
    if (!this.isUp || !this.#held.delete(runKey(run))) return
    this.#closeAttempt(run)
    this.#ends.add(run, outcome)
    for (const wake of this.#waiters) wake()
    this.#opts.ledger.noteEnd(run, outcome)
    this.#ends.applyRememberedCursor()
  }

  /** Loses all runs without reporting their ends; callers only see broken connections. */
  crash(): void {
    this.isUp = false
    for (const wake of this.#waiters) wake()
    const lost = [...this.#held.values()]
    this.#held.clear()
    for (const { run } of lost) this.#opts.ledger.noteLostInCrash(run)
  }

  holds(run: RunRef): boolean {
    return this.#held.has(runKey(run))
  }

  #crashSoon(run: RunRef): void {
    const { clock, ledger, onCrashingRun } = this.#opts
    clock.setTimer(crashAfterMs, () => {
      if (!this.isUp || !this.holds(run)) return
      ledger.noteCrashCaused(run)
      onCrashingRun?.()
    })
  }

  #closeAttempt(run: RunRef): void {
    const closed = this.#closedAttempts.get(taskKey(run)) ?? 0
    this.#closedAttempts.set(taskKey(run), Math.max(closed, run.attempt))
  }

  #countUsedAccelerators(): number {
    return [...this.#held.values()].reduce((sum, { needs }) => sum + needs.accelerators, 0)
  }

  #renewLease(leaseEndMs: number): void {
    this.#leaseEndMs = Math.max(this.#leaseEndMs, leaseEndMs)
    this.#leaseTimer?.cancel()
    const leftMs = (this.#leaseEndMs - this.clockMs) / this.#opts.clockRate
    this.#leaseTimer = this.#opts.clock.setTimer(leftMs + 1, () => {
      this.#ends.lapse()
      for (const { run } of [...this.#held.values()]) this.end(run, 'lapsed')
    })
  }

  async #waitForEnd(clock: Clock, waitMs: number): Promise<void> {
    const waiting = new AbortController()
    const wake = (): void => {
      waiting.abort()
    }
    this.#waiters.add(wake)
    await clock.sleep(waitMs, waiting.signal)
    this.#waiters.delete(wake)
  }
}
