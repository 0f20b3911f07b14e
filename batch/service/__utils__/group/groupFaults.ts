/** Injects faults that may overlap into a control group. Targets and durations come from the group's random numbers. */
import type { ControlGroup } from './controlGroup.js'
import type { GroupMember } from './groupMember.js'

export const groupFaultKinds = [
  'kill',
  'kill-all',
  // A kill that loses unsynced data.
  'power',
  'power-all',
  'lose-disk',
  // The member is removed for good, and a new one with an empty disk started.
  'replace',
  'freeze',
  'suspend',
  'isolate',
  // Only the links to the member are cut.
  'deafen',
  // One direction of one link is cut.
  'cut-way',
  // The group is split at random into two sides that cannot reach each other.
  'halves',
  'lossy',
  'slow-disk',
  'stall-disk',
  'stall-disks',
  'full-disk',
  'stop',
  'stop-in-turn',
  'transfer',
] as const
export type GroupFaultKind = (typeof groupFaultKinds)[number]

/** The deployments tolerate the loss of this many members with their data. */
const maxLostMembers = 2
const leaderTargetShare = 0.45
/** How long a process may take to stop. */
const stopTimeoutMs = 6000
const pollEveryMs = 50
const faultDurationMs = { shortest: 100, longest: 4000 }

export class GroupFaults {
  readonly #group: ControlGroup
  #lostMembers = 0
  #stopping = 0
  #isHealed = false

  constructor(group: ControlGroup) {
    this.#group = group
  }

  inject(kind: GroupFaultKind): void {
    if (this.#isHealed) return
    const { members, links, clock, random } = this.#group
    const target = this.#pickTarget()
    const forMs =
      faultDurationMs.shortest + random() * (faultDurationMs.longest - faultDurationMs.shortest)
    this.#group.note(`FAULT ${kind} ${target.member.memberId} ${Math.round(forMs)}`)
    const later = (run: () => void): void => void clock.setTimer(forMs, run)
    const others = members.filter((member) => member !== target)
    switch (kind) {
      case 'kill':
      case 'power':
        if (kind === 'kill') target.kill()
        else target.losePower()
        later(() => {
          target.start()
        })
        return
      case 'kill-all':
      case 'power-all':
        for (const member of members) {
          if (kind === 'kill-all') member.kill()
          else member.losePower()
          clock.setTimer(forMs / 3 + random() * 300, () => {
            member.start()
          })
        }
        return
      case 'lose-disk':
        if (this.#tryCountLoss(target)) target.loseDisk()
        later(() => {
          target.start()
        })
        return
      case 'replace':
        if (!this.#tryCountLoss(target)) return
        target.kill()
        target.isRemoved = true
        this.#group.addMember()
        return
      case 'freeze':
      case 'suspend':
        target.pause(kind)
        later(() => {
          target.resume()
        })
        return
      case 'isolate':
      case 'deafen':
        for (const { member } of others) {
          links.cutOneWay(member.memberId, target.member.memberId)
          if (kind === 'isolate') links.cutOneWay(target.member.memberId, member.memberId)
        }
        this.#healLinks(forMs)
        return
      case 'cut-way':
        links.cutOneWay(target.member.memberId, this.#pickTarget().member.memberId)
        this.#healLinks(forMs)
        return
      case 'halves':
        this.#partition()
        this.#healLinks(forMs)
        return
      case 'lossy':
        links.lossShare = 0.3 * random()
        this.#healLinks(forMs)
        return
      case 'slow-disk':
      case 'stall-disk':
      case 'full-disk':
        if (kind === 'slow-disk') target.disk.isSlow = true
        if (kind === 'stall-disk') target.disk.stall()
        if (kind === 'full-disk') target.disk.isFull = true
        later(() => {
          target.disk.heal()
        })
        return
      case 'stall-disks':
        for (const { disk } of members) if (random() < 0.6) disk.stall()
        later(() => {
          for (const { disk } of members) disk.heal()
        })
        return
      case 'stop':
        this.#stop(target, forMs / 2)
        return
      case 'stop-in-turn':
        members.forEach((member, at) => {
          clock.setTimer(at * (200 + forMs / 4), () => {
            this.#stop(member, forMs / 6)
          })
        })
        return
      case 'transfer':
        void target.node?.raft.transferLeadership()
    }
  }

  /** Ends all faults: waits for the members that are stopping, and starts every member that was not replaced. */
  async heal(): Promise<void> {
    const { members, links, clock } = this.#group
    this.#isHealed = true
    links.heal()
    for (const member of members) {
      member.disk.heal()
      member.resume()
    }
    const endMs = clock.monotonicMs() + stopTimeoutMs
    while (this.#stopping > 0 && clock.monotonicMs() < endMs) await clock.advance(pollEveryMs)
    if (this.#stopping > 0)
      this.#group.violations.push(`${this.#stopping} members did not stop in time`)
    for (const member of members) member.start()
    this.#group.submitLessOften()
    this.#group.note('HEALED')
  }

  #pickTarget(): GroupMember {
    const { members, leader, random } = this.#group
    const present = members.filter(({ isRemoved }) => !isRemoved)
    const picked = present[Math.floor(random() * present.length)]
    const target = random() < leaderTargetShare ? (leader ?? picked) : picked
    if (target === undefined) throw new Error('a group without members')
    return target
  }

  #tryCountLoss(target: GroupMember): boolean {
    if (this.#lostMembers === maxLostMembers || target.isRemoved) return false
    this.#lostMembers += 1
    return true
  }

  #stop(member: GroupMember, downForMs: number): void {
    if (this.#isHealed || !member.isUp) return
    this.#stopping += 1
    void member.stop().then(() => {
      this.#stopping -= 1
      this.#group.clock.setTimer(downForMs, () => {
        member.start()
      })
    })
  }

  #partition(): void {
    const { members, links, random } = this.#group
    const sides = members.map(() => random() < 0.5)
    members.forEach((one, at) => {
      members.forEach((other, otherAt) => {
        if (sides[at] !== sides[otherAt])
          links.cutOneWay(one.member.memberId, other.member.memberId)
      })
    })
  }

  #healLinks(forMs: number): void {
    this.#group.clock.setTimer(forMs, () => {
      this.#group.links.heal()
    })
  }
}
