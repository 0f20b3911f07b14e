/** In-memory links between the members of a group: messages are delayed, and each direction can be cut by itself. */
import type { ManualClock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import type { BatchNode } from '../../src/index.js'
import type { MemberClock } from './memberClock.js'

/** In one direction, between data centres. */
const longestDelayMs = 8
/** TCP sends a lost packet again after some hundred milliseconds. */
const retransmitMs = { shortest: 200, longest: 700 }
/** The share of the messages on a cut link that are delivered once it has healed; the others are lost. */
const deliveredAfterCutShare = 0.5

/** One process of a member, from its start to its end. */
export interface MemberProcess {
  readonly memberId: string
  readonly clock: MemberClock
  readonly node: BatchNode | undefined
  hasEnded: boolean
}

export class MemberLinks {
  /** The running process of each member, by member id. */
  readonly processes = new Map<string, MemberProcess>()
  /** The share of packets that are lost and sent again. */
  lossShare = 0
  /** The directions that are cut, as `from to`. */
  readonly #cutDirections = new Set<string>()
  #heldMessages: (() => void)[] = []
  readonly #clock: ManualClock
  readonly #random: () => number
  readonly #callTimeoutMs: number

  constructor(clock: ManualClock, random: () => number, callTimeoutMs: number) {
    this.#clock = clock
    this.#random = random
    this.#callTimeoutMs = callTimeoutMs
  }

  cutOneWay(from: string, to: string): void {
    this.#cutDirections.add(`${from} ${to}`)
  }

  heal(): void {
    this.#cutDirections.clear()
    this.lossShare = 0
    const held = this.#heldMessages
    this.#heldMessages = []
    for (const deliver of held) deliver()
  }

  /** Errors: rejects with `unreachable` and `outcome-unknown`, and as `run` does. */
  call<T>(from: MemberProcess, to: string, run: (node: BatchNode) => Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      const timer = from.clock.setTimer(this.#callTimeoutMs, () => {
        reject(new NettlespurError('outcome-unknown', `no answer from ${to}`))
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
    from: MemberProcess,
    to: string,
    run: (node: BatchNode) => Promise<T>,
  ): Promise<T> {
    await this.#transmit(from.memberId, to)
    const target = this.processes.get(to)
    if (target?.node === undefined) throw new NettlespurError('unreachable', `${to} is down`)
    await target.clock.waitUntilResumed()
    const [result] = await Promise.allSettled([run(target.node)])
    await target.clock.waitUntilResumed()
    // A call is never answered if the process at either end has ended meanwhile.
    if (target.hasEnded || from.hasEnded) await new Promise<never>(() => undefined)
    await this.#transmit(to, from.memberId)
    await from.clock.waitUntilResumed()
    if (result.status === 'rejected') throw result.reason
    return result.value
  }

  async #transmit(from: string, to: string): Promise<void> {
    const { shortest, longest } = retransmitMs
    const isLost = this.lossShare > 0 && this.#random() < this.lossShare
    const resentMs = isLost ? shortest + this.#random() * (longest - shortest) : 0
    await this.#clock.sleep(this.#random() * longestDelayMs + resentMs)
    while (this.#cutDirections.has(`${from} ${to}`)) await this.#waitForLink()
  }

  async #waitForLink(): Promise<void> {
    const isHeld = this.#random() < deliveredAfterCutShare
    await new Promise<void>((resolve) => {
      if (isHeld) this.#heldMessages.push(resolve)
    })
  }
}
