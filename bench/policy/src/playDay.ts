/** Plays a crowded day with the scheduler and the state of the product, in simulated time. */
import {
  HeadroomWatch,
  planRound,
  StarvationTimes,
  type StarvingUnit,
  type UpstreamAvailability,
} from '@nettlespur/batch.scheduler'
import type { UpstreamDescription } from '@nettlespur/batch.model'
import {
  buildSchedulerView,
  listRunsCutShort,
  UpstreamHealth,
  type BuildSchedulerViewOptions,
  type LeavingUpstream,
  type ListRunsOptions,
} from '@nettlespur/batch.service'
import { BatchState, type RunEnd, type UpstreamRecord } from '@nettlespur/batch.state'
import { SeededRandom } from '@nettlespur/bench.placement'
import type { CrowdedDay } from './crowdedDay.js'
import type { DayJob } from './dayJob.js'
import { isWithin } from './dayTroubles.js'
import { HeldUpWatch } from './heldUpWatch.js'
import { measureDay, type DayResult } from './measureDay.js'
import { PlayedProcesses } from './playedProcesses.js'
import { PlayedRuns } from './playedRuns.js'
import { PlayedSpeeds } from './playedSpeeds.js'
import { defaultParts, leaveOutParts, type PolicyParts } from './policyParts.js'

/** Between two looks at what has changed. */
const stepMs = 50

export function playDay(day: CrowdedDay, seed: number, parts = defaultParts): DayResult {
  const player = new DayPlayer(day, seed, parts)
  return player.play()
}

class DayPlayer {
  readonly #day: CrowdedDay
  readonly #state = new BatchState()
  readonly #parts: PolicyParts
  readonly #runs: PlayedRuns
  readonly #speeds: PlayedSpeeds
  readonly #processes: PlayedProcesses
  readonly #health = new UpstreamHealth()
  readonly #acceptedAtMs = new Map<string, number>()
  readonly #endedAtMs = new Map<string, number>()
  readonly #roundsMs: number[] = []
  readonly #heldUp = new HeldUpWatch()
  readonly #starvation = new StarvationTimes()
  #headroom: HeadroomWatch | undefined
  #leaving: readonly LeavingUpstream[] = []
  #hasLeader = true
  #nowMs = 0

  constructor(day: CrowdedDay, seed: number, parts: PolicyParts) {
    this.#day = day
    this.#parts = parts
    this.#headroom = HeadroomWatch.create(day.claimBounds)
    const state = this.#state
    const speeds = new PlayedSpeeds({ state, parts, paces: day.troubles.paces })
    this.#speeds = speeds
    this.#runs = new PlayedRuns({ day, random: new SeededRandom(seed), state, speeds })
    const { crashes } = this.#runs
    this.#processes = new PlayedProcesses({ day, crashes, state, health: this.#health })
    this.#state.apply({ type: 'apply-config', config: day.config })
    for (const description of day.upstreams) {
      this.#state.apply({ type: 'note-upstream', description })
    }
  }

  play(): DayResult {
    const arrivals = [...this.#day.jobs]
    const losses = [...this.#day.losses].sort((left, right) => left.atMs - right.atMs)
    const { lengthMs, finishMs } = this.#day
    for (; this.#nowMs < lengthMs + finishMs; this.#nowMs += stepMs) {
      this.#processes.advance(this.#nowMs)
      this.#runs.advance(this.#nowMs, stepMs)
      if (this.#isLeaderless()) continue
      this.#speeds.advance(this.#nowMs)
      this.#speeds.read(this.#runs.listTracks())
      while ((arrivals[0]?.arriveMs ?? Infinity) <= this.#nowMs) this.#submit(arrivals.shift())
      this.#giveNotices()
      while ((losses[0]?.atMs ?? Infinity) <= this.#nowMs) this.#lose(losses.shift()?.upstreamId)
      this.#changeEvacuations()
      this.#cancelDue()
      this.#processes.replaceRevived(this.#nowMs)
      this.#takeEnds(this.#runs.takeEnds(this.#nowMs))
      const starving = this.#decide()
      this.#heldUp.look(this.#state, this.#runs.listPlacements(), this.#nowMs, starving)
      if (this.#day.endsEarly && arrivals.length === 0 && this.#state.unsettled.size === 0) break
    }
    return this.#measure()
  }

  /** Whether nobody leads now. As such a time begins, what the leader knew of speeds gives way to what the next one knows. */
  #isLeaderless(): boolean {
    const isLeaderless = this.#day.troubles.leaderless.some((span) => isWithin(span, this.#nowMs))
    if (this.#hasLeader && isLeaderless) this.#speeds.changeLeader(this.#runs.listTracks())
    if (isLeaderless) this.#headroom = HeadroomWatch.create(this.#day.claimBounds)
    this.#hasLeader = !isLeaderless
    return isLeaderless
  }

  #submit(job: DayJob | undefined): void {
    if (job === undefined) return
    const { request, workspace, kind } = job
    this.#acceptedAtMs.set(request.jobId, this.#nowMs)
    this.#state.apply({ type: 'submit-job', request, workspace, queueName: kind.name })
  }

  /** Upstreams that say that they leave drain until they are lost. */
  #giveNotices(): void {
    const noticed = this.#day.losses.filter(({ atMs, noticeMs = 0 }) => {
      return noticeMs > 0 && atMs > this.#nowMs && atMs - noticeMs <= this.#nowMs
    })
    this.#leaving = noticed.map(({ upstreamId, atMs }) => {
      return { upstreamId: this.#processes.getProcessId(upstreamId), leavesAtMs: atMs }
    })
    for (const { upstreamId } of this.#leaving)
      this.#state.apply({ type: 'drain-upstream', upstreamId })
  }

  #changeEvacuations(): void {
    for (const { dataCentre, ...span } of this.#day.evacuations) {
      const isInForce = isWithin(span, this.#nowMs)
      const known = this.#state.evacuations.find(dataCentre)
      if (known.isInForce === isInForce) continue
      const change = { dataCentre, isInForce, expectedRevision: known.revision }
      this.#state.apply({ type: 'change-evacuation', change })
    }
  }

  #cancelDue(): void {
    for (const [jobId, afterMs] of this.#day.troubles.cancelAfterMs) {
      const acceptedAtMs = this.#acceptedAtMs.get(jobId) ?? Infinity
      if (this.#nowMs < acceptedAtMs + afterMs) continue
      if (this.#state.jobs.get(jobId)?.status !== 'active') continue
      this.#state.apply({ type: 'cancel-job', jobId })
      this.#runs.stopJob(jobId, this.#nowMs)
    }
  }

  #lose(machineId: string | undefined): void {
    if (machineId === undefined) return
    const upstreamId = this.#processes.getProcessId(machineId)
    const upstream = this.#state.upstreams.get(upstreamId)
    if (upstream !== undefined) this.#health.noteLoss(upstream, this.#nowMs)
    this.#state.apply({ type: 'remove-upstream', upstreamId })
    this.#takeEnds(this.#runs.lose(upstreamId))
  }

  #takeEnds(ends: RunEnd[]): void {
    this.#state.apply({ type: 'end-runs', ends })
    for (const end of ends) {
      const address = this.#state.upstreams.get(end.upstreamId)?.description.address
      this.#health.noteEnd(end, address, this.#nowMs)
      const isActive = this.#state.jobs.get(end.jobId)?.status === 'active'
      if (!isActive && !this.#endedAtMs.has(end.jobId)) this.#endedAtMs.set(end.jobId, this.#nowMs)
    }
  }

  /** Returns the units that starve by the scheduler's own account. */
  #decide(): readonly StarvingUnit[] {
    const begunAt = process.hrtime.bigint()
    const runs: ListRunsOptions = {
      state: this.#state,
      nowMs: this.#nowMs,
      listPlacements: (upstreamId) => this.#state.placements.getByUpstream(upstreamId),
      isStopping: (placement) => this.#runs.isStopping(placement),
      findTrack: (placement) => this.#runs.findTrack(placement),
    }
    for (const run of listRunsCutShort(this.#leaving, runs)) this.#runs.stop(run, this.#nowMs)
    const input: BuildSchedulerViewOptions = {
      ...runs,
      isLeftOut: () => false,
      getSpeed: (upstreamId) => this.#speeds.get(upstreamId),
      acceptedAtMs: this.#acceptedAtMs,
      getAvailability: (upstream) => this.#getAvailability(upstream),
      isCold: () => false,
      isUnstable: ({ description }) => this.#health.isUnstable(description, this.#nowMs),
      hasTrial: ({ description }) => this.#runs.hasTrial(description.upstreamId),
      isQuiet: ({ description }) => this.#isQuiet(description),
      isPaused: () => false,
      starvedMs: (unit) => this.#starvation.starvedMs(unit, this.#nowMs),
      claimBounds: this.#day.claimBounds,
      headroom: this.#headroom?.view(this.#nowMs),
    }
    this.#headroom?.noteJobs(this.#state.unsettled, this.#nowMs)
    const view = buildSchedulerView(leaveOutParts(input, this.#parts))
    const decision = planRound(view)
    const { placements, preemptions, starving } = decision
    this.#roundsMs.push(Number(process.hrtime.bigint() - begunAt) / 1e6)
    for (const { run } of preemptions) this.#runs.stop(run, this.#nowMs)
    this.#state.apply({ type: 'place-tasks', placements })
    this.#runs.start(placements, this.#nowMs)
    this.#starvation.noteRound(starving, this.#nowMs)
    this.#headroom?.noteRound(decision, this.#nowMs)
    return starving
  }

  #getAvailability(upstream: UpstreamRecord): UpstreamAvailability | undefined {
    const { upstreamId } = upstream.description
    if (upstream.hasLeft || upstream.isDraining || this.#state.isEvacuated(upstreamId))
      return undefined
    if (this.#runs.crashes.isDown(upstreamId)) return 'excluded'
    return this.#health.isQuarantined(upstreamId, this.#nowMs) ? 'suspect' : 'usable'
  }

  #isQuiet({ upstreamId, address }: UpstreamDescription): boolean {
    if (this.#health.hasCrashedLately(address, this.#nowMs)) return false
    return !this.#runs.hasUnproven(upstreamId)
  }

  #measure(): DayResult {
    return measureDay({
      day: this.#day,
      state: this.#state,
      runs: this.#runs,
      heldUp: this.#heldUp,
      endedAtMs: this.#endedAtMs,
      roundsMs: this.#roundsMs,
    })
  }
}
