/** A small fleet for tests: plans rounds against the real `BatchState`. */
import type { JobRequest } from '@nettlespur/batch.model'
import { createConfig, createUpstream } from '@nettlespur/batch.samples'
import { unknownSpeed, type SpeedDistribution } from '@nettlespur/batch.speeds'
import { BatchState, listPlacements, type Placement } from '@nettlespur/batch.state'
import {
  addResources,
  noResources,
  HeadroomWatch,
  planRound,
  type ClaimBounds,
  StarvationTimes,
  type ActiveRun,
  type UpstreamAvailability,
} from '../src/index.js'

/** Expected time until each run ends. */
const remainingRunMs = 1000
const roundIntervalMs = 100

export class Fleet {
  readonly state = new BatchState()
  nowMs = 0
  /** Of the only workspace. */
  guaranteedAccelerators = 16
  /** Work lost if a run of the job is stopped, in core-seconds by job id; 1 for other jobs. */
  readonly stopCosts = new Map<string, number>()
  /** Names of proven runs; see `SchedulerView.isProven`. */
  readonly proven = new Set<string>()
  /** How long runs take, by job id; runs of other jobs end only when the test ends them. */
  readonly runTimesMs = new Map<string, number>()
  /** When runs are expected to end, by job id; runs of other jobs end `remainingRunMs` after each round. */
  readonly expectedEndsMs = new Map<string, number>()
  claimBounds: ClaimBounds | undefined
  /** Set it to keep capacity free for urgent work. */
  headroom: HeadroomWatch | undefined
  /** What the stop of a run takes; without it, the run is gone by the next round. */
  getStopMs: () => number = () => 0
  /** Time between rounds. */
  getRoundIntervalMs: () => number = () => roundIntervalMs
  readonly #startedAtMs = new Map<string, number>()
  /** Upstreams that are not usable, by id. */
  readonly availability = new Map<string, UpstreamAvailability>()
  /** Ids of cold upstreams. */
  readonly cold = new Set<string>()
  /** Speeds by upstream id; unknown for the others. */
  readonly speeds = new Map<string, SpeedDistribution>()
  /** How fast upstreams really are, by id; 1 for the others. */
  readonly paces = new Map<string, number>()
  /** Ids of unstable upstreams. */
  readonly unstable = new Set<string>()
  readonly #acceptedAtMs = new Map<string, number>()
  /** When the stops of runs are over, by the names of the runs. */
  readonly #stopping = new Map<string, number>()
  readonly #starvation = new StarvationTimes()

  constructor(...racks: string[]) {
    this.state.apply({ type: 'apply-config', config: createConfig(1) })
    racks.forEach((rack, at) => {
      const description = createUpstream(`u${at}`, rack)
      this.state.apply({ type: 'note-upstream', description })
    })
  }

  /** Changes how many accelerators the upstream has. */
  resize(upstreamId: string, accelerators: number): void {
    const known = this.state.upstreams.get(upstreamId)?.description
    if (known === undefined) throw new Error(`no upstream ${upstreamId}`)
    const description = { ...known, capacity: { ...known.capacity, accelerators } }
    this.state.apply({ type: 'note-upstream', description })
  }

  /** Changes the objective of the queue with that priority. */
  setObjective(priority: number, stretch: number, targetLatencyMs: number): void {
    const config = this.state.config ?? createConfig(1)
    const queues = config.queues.map((queue) =>
      queue.priority === priority ? { ...queue, stretch, targetLatencyMs } : queue,
    )
    const version = config.version + 1
    this.state.apply({ type: 'apply-config', config: { ...config, version, queues } })
  }

  submit(request: JobRequest, priority = 1): void {
    const queueName = `queue${priority}`
    this.state.apply({ type: 'submit-job', request, workspace: 'w1', queueName })
    this.#acceptedAtMs.set(request.jobId, this.nowMs)
  }

  /** Plans one round and applies its placements to the state. */
  decide() {
    this.headroom?.noteJobs(this.state.unsettled, this.nowMs)
    const decision = planRound({
      nowMs: this.nowMs,
      queues: this.state.config?.queues ?? [],
      jobs: [...this.state.unsettled.values()],
      acceptedAtMs: this.#acceptedAtMs,
      upstreams: this.#listUpstreams(false),
      evacuated: this.#listUpstreams(true),
      runs: this.#runs(),
      isPaused: () => false,
      starvedMs: (unit) => this.#starvation.starvedMs(unit, this.nowMs),
      isProven: (run) => this.proven.has(nameRun(run)),
      guarantees: new Map([['w1', this.guaranteedAccelerators]]),
      claimBounds: this.claimBounds,
      headroom: this.headroom?.view(this.nowMs),
    })
    this.state.apply({ type: 'place-tasks', placements: decision.placements })
    for (const run of decision.placements) this.#startedAtMs.set(nameRun(run), this.nowMs)
    this.#starvation.noteRound(decision.starving, this.nowMs)
    this.headroom?.noteRound(decision, this.nowMs)
    for (const { run } of decision.preemptions) {
      this.#stopping.set(nameRun(run), this.nowMs + this.getStopMs())
    }
    return decision
  }

  /** Plans a round at each interval until `untilMs`, ends runs whose time is over, and returns the placements. */
  playUntil(untilMs: number, onRound: () => void = () => undefined): Placement[] {
    const placements: Placement[] = []
    for (; this.nowMs <= untilMs; this.nowMs += this.getRoundIntervalMs()) {
      for (const { placement } of this.#runs()) this.#endIfOver(placement)
      placements.push(...this.decide().placements)
      onRound()
    }
    return placements
  }

  #endIfOver(run: Placement): void {
    const startedAtMs = this.#startedAtMs.get(nameRun(run)) ?? Infinity
    const runTimeMs = (this.runTimesMs.get(run.jobId) ?? Infinity) / this.#paceOf(run)
    const isOver = this.nowMs - startedAtMs >= runTimeMs
    const stoppedAtMs = this.#stopping.get(nameRun(run)) ?? Infinity
    if (stoppedAtMs <= this.nowMs) this.end(run, 'stopped')
    else if (isOver) this.end(run, 'done')
  }

  /** A gang is as slow as its slowest member. */
  #paceOf(run: Placement): number {
    const job = this.state.jobs.get(run.jobId)
    const isGang = job?.request.steps[run.step]?.isGang === true
    const members = isGang ? listPlacements(job).filter(({ step }) => step === run.step) : [run]
    return Math.min(...members.map(({ upstreamId }) => this.paces.get(upstreamId) ?? 1))
  }

  /** Marks all current runs as proven. */
  prove(): void {
    for (const { placement } of this.#runs()) this.proven.add(nameRun(placement))
  }

  /** Ends the run as the one blamed for a crash of its upstream. */
  crash(run: Placement): void {
    const end = { ...run, outcome: 'crashed', isCertain: true, blame: 'blamed' } as const
    this.state.apply({ type: 'end-runs', ends: [end] })
  }

  end(run: Placement, outcome: 'done' | 'failed' | 'stopped'): void {
    this.state.apply({ type: 'end-runs', ends: [{ ...run, outcome, checkpoint: '' }] })
  }

  #listUpstreams(areEvacuated: boolean) {
    return [...this.state.upstreams.values()].flatMap(({ description }) => {
      const isEvacuated = this.state.isEvacuated(description.upstreamId)
      return isEvacuated === areEvacuated ? [this.#toSchedulable(description)] : []
    })
  }

  #toSchedulable(description: ReturnType<typeof createUpstream>) {
    let used = noResources
    let stopping = noResources
    for (const run of this.state.placements.getByUpstream(description.upstreamId).values()) {
      const needs = this.state.jobs.get(run.jobId)?.request.steps[run.step]?.needs ?? noResources
      used = addResources(used, needs)
      if (this.#stopping.has(nameRun(run))) stopping = addResources(stopping, needs)
    }
    const free = addResources(description.capacity, used, -1)
    const runs = [...this.state.placements.getByUpstream(description.upstreamId).values()]
    const isSuitableForTrial = runs.every((run) => this.proven.has(nameRun(run)))
    return {
      ...description,
      availability: this.availability.get(description.upstreamId) ?? ('usable' as const),
      free,
      freeAfterStops: addResources(free, stopping),
      isCold: this.cold.has(description.upstreamId),
      speed: this.speeds.get(description.upstreamId) ?? unknownSpeed,
      isUnstable: this.unstable.has(description.upstreamId),
      isSuitableForTrial,
    }
  }

  #runs(): ActiveRun[] {
    return [...this.state.upstreams.keys()].flatMap((upstreamId) =>
      [...this.state.placements.getByUpstream(upstreamId).values()].map((placement) => ({
        placement,
        needs:
          this.state.jobs.get(placement.jobId)?.request.steps[placement.step]?.needs ?? noResources,
        expectedEndMs: this.expectedEndsMs.get(placement.jobId) ?? this.nowMs + remainingRunMs,
        stopCostCoreSeconds: this.stopCosts.get(placement.jobId) ?? 1,
        isStopping: this.#stopping.has(nameRun(placement)),
      })),
    )
  }
}

function nameRun({ jobId, step, index, attempt }: Placement): string {
  return `${jobId}.${step}.${index}#${attempt}`
}
