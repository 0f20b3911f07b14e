/** Links between the members of a group, in memory: messages take time, and links can be cut each way. */
import type { ManualClock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import type { BatchNode } from '../../src/index.js'
import type { MemberClock } from './memberClock.js'

/** One way, over a few data centres. */
const longestDelayMs = 8
/** A packet that was lost is sent again after some hundred milliseconds. */
const resendMs = { shortest: 200, longest: 700 }
/** Of the messages on a cut link, how many are still delivered once it is whole again. */
const heldShare = 0.5

/** One life of a member's process. */
export interface MemberLife {
  readonly memberId: string
  readonly clock: MemberClock
  readonly node: BatchNode | undefined
  hasEnded: boolean
}

export class MemberLinks {
  readonly lives = new Map<string, MemberLife>()
  /** Share of packets that are lost and sent again. */
  lossShare = 0
  /** Ways that are cut, as `from to`. */
  readonly #cut = new Set<string>()
  #waiting: (() => void)[] = []
  readonly #clock: ManualClock
  readonly #random: () => number
  readonly #callTimeoutMs: number

  constructor(clock: ManualClock, random: () => number, callTimeoutMs: number) {
    this.#clock = clock
    this.#random = random
    this.#callTimeoutMs = callTimeoutMs
  }

  cutWay(from: string, to: string): void {
    this.#cut.add(`${from} ${to}`)
  }

  heal(): void {
    this.#cut.clear()
    this.lossShare = 0
    const waiting = this.#waiting
    this.#waiting = []
    for (const goOn of waiting) goOn()
  }

  /** Errors: rejects with `unreachable` and `outcome-unknown`, and as `run` does. */
  call<T>(from: MemberLife, to: string, run: (node: BatchNode) => Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      const timer = from.clock.setTimer(this.#callTimeoutMs, () => {
        reject(new NettlespurError('outcome-unknown', `no answer of ${to}`))
      })
      const settle = (finish: () => void): void => {
        timer.cancel()
        finish()
      }
      this.#exchange(from, to, run).then(
        (answer) => {
          settle(() => {
            resolve(answer)
          })
        },
        (thrown: unknown) => {
          settle(() => {
            reject(thrown instanceof Error ? thrown : new Error(String(thrown)))
          })
        },
      )
    })
  }

  async #exchange<T>(
    from: MemberLife,
    to: string,
    run: (node: BatchNode) => Promise<T>,
  ): Promise<T> {
    await this.#travel(from.memberId, to)
    const life = this.lives.get(to)
    if (life?.node === undefined) throw new NettlespurError('unreachable', `${to} is down`)
    await life.clock.waitUntilAwake()
    const [result] = await Promise.allSettled([run(life.node)])
    await life.clock.waitUntilAwake()
    // What is never answered: either end is another process now.
    if (life.hasEnded || from.hasEnded) await new Promise<never>(() => undefined)
    await this.#travel(to, from.memberId)
    await from.clock.waitUntilAwake()
    if (result.status === 'rejected') throw result.reason
    return result.value
  }

  async #travel(from: string, to: string): Promise<void> {
    const { shortest, longest } = resendMs
    const isLost = this.lossShare > 0 && this.#random() < this.lossShare
    const resentMs = isLost ? shortest + this.#random() * (longest - shortest) : 0
    await this.#clock.sleep(this.#random() * longestDelayMs + resentMs)
    while (this.#cut.has(`${from} ${to}`)) await this.#waitForLink()
  }

  async #waitForLink(): Promise<void> {
    const isHeld = this.#random() < heldShare
    await new Promise<void>((resolve) => {
      if (isHeld) this.#waiting.push(resolve)
    })
  }
}
