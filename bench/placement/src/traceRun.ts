/**
 * Runs a trace against one policy on a manual clock. Its upstreams hold gangs until their run time is over, stop them with a
 * delay, and fail or leave as the trace says.
 */
import { ManualClock } from '@nettlespur/core.clock'
import {
  RunTimeCorrection,
  type PlacementDecision,
  type PlacementPolicy,
  type PlacementView,
} from '@nettlespur/placement.engine'
import type { Block } from '@nettlespur/placement.topology'
import type { LiveJob } from './liveJob.js'
import type { Trace, TraceJob } from './trace.js'
import type { FinishedJob, TraceResult } from './traceResult.js'
import { TraceSamples } from './traceSamples.js'
import { TraceUpstreams } from './traceUpstreams.js'

const checkpointMs = 10_000
const stopMs = 2000
const resumeMs = 15_000
const failAfterMs = 20_000
const retryAfterMs = 30_000
const tickMs = 60_000
/** Time after the window in which what still waits may end. */
const drainMs = 86_400_000

export class TraceRun {
  readonly #trace: Trace
  readonly #policy: PlacementPolicy
  readonly #clock = new ManualClock()
  readonly #correction: RunTimeCorrection | undefined
  readonly #live = new Map<string, LiveJob>()
  readonly #upstreams: TraceUpstreams
  readonly #finished: FinishedJob[] = []
  readonly #samples: TraceSamples
  #endedOtherwise = 0
  #preemptions = 0
  #rounds = 0
  #nextArrival = 0

  /** With `correction` the policy is given corrected run times, without it the declared ones. */
  constructor(trace: Trace, policy: PlacementPolicy, correction?: RunTimeCorrection) {
    this.#trace = trace
    this.#upstreams = new TraceUpstreams(trace)
    this.#policy = policy
    this.#correction = correction
    this.#samples = new TraceSamples(trace)
  }

  async run(): Promise<TraceResult> {
    const { jobs, windowMs } = this.#trace
    while (this.#nowMs < windowMs + drainMs) {
      this.#settle()
      this.#decideOnce()
      this.#samples.take(this.#nowMs, this.#createView())
      if (this.#live.size === 0 && this.#nextArrival === jobs.length) break
      await this.#clock.advance(this.#findNextMs() - this.#nowMs)
    }
    return {
      finished: this.#finished,
      endedOtherwise: this.#endedOtherwise,
      left: this.#live.size,
      preemptions: this.#preemptions,
      rounds: this.#rounds,
      samples: this.#samples,
    }
  }

  get #nowMs(): number {
    return this.#clock.monotonicMs()
  }

  #findNextMs(): number {
    let next = this.#nowMs + tickMs
    const consider = (ms: number | undefined): void => {
      if (ms !== undefined && ms > this.#nowMs && ms < next) next = ms
    }
    consider(this.#trace.jobs[this.#nextArrival]?.arriveMs)
    for (const { fromMs, untilMs } of this.#trace.outages) {
      consider(fromMs)
      consider(untilMs)
    }
    for (const live of this.#live.values()) {
      consider(live.stopAtMs)
      consider(live.gang?.endMs)
      consider(live.job.cancelMs)
    }
    return next
  }

  /** Everything that has happened by now, except for decisions. */
  #settle(): void {
    this.#arrive()
    for (const live of [...this.#live.values()]) {
      const { job, gang, stopAtMs } = live
      if (gang === undefined) {
        if (this.#isDue(job.cancelMs)) this.#end(live)
      } else if (gang.blocks.some((block) => this.#upstreams.isGone(block.upstreamId, this.#nowMs)))
        this.#lose(live)
      else if (this.#isDue(gang.endMs)) this.#finish(live)
      else if (this.#isDue(stopAtMs)) this.#stopped(live)
      else if (this.#isDue(job.cancelMs) && stopAtMs === undefined) this.#stop(live, stopMs)
    }
  }

  #arrive(): void {
    const { jobs } = this.#trace
    for (;;) {
      const job = jobs[this.#nextArrival]
      if (job === undefined || job.arriveMs > this.#nowMs) return
      this.#nextArrival += 1
      const queuedAtMs = job.arriveMs
      this.#live.set(job.jobId, { job, queuedAtMs, retryAtMs: 0, attempts: 0, doneMs: 0 })
    }
  }

  #isDue(ms: number | undefined): boolean {
    return ms !== undefined && ms <= this.#nowMs
  }

  #finish(live: LiveJob): void {
    const { job, gang } = live
    if (gang?.fails === true) {
      this.#upstreams.countFailures(gang.blocks, this.#nowMs)
      this.#lose(live)
      return
    }
    const completionMs = this.#nowMs - job.arriveMs
    const firstWaitMs = (live.firstStartMs ?? this.#nowMs) - job.arriveMs
    if (job.cancelMs === undefined) this.#finished.push({ job, completionMs, firstWaitMs })
    this.#correction?.observeRunTime(job.workspace, job.declaredRunTimeMs, job.runTimeMs)
    this.#live.delete(job.jobId)
  }

  /** What may be run again is; the rest has ended. */
  #lose(live: LiveJob): void {
    if (live.job.stoppability === 'never' || this.#isDue(live.job.cancelMs)) this.#end(live)
    else this.#requeue(live, this.#nowMs + retryAfterMs)
  }

  #end({ job }: LiveJob): void {
    this.#live.delete(job.jobId)
    this.#endedOtherwise += 1
  }

  #stop(live: LiveJob, durationMs: number): void {
    live.stopAtMs = this.#nowMs + durationMs
  }

  #stopped(live: LiveJob): void {
    const { job, gang } = live
    if (this.#isDue(job.cancelMs)) {
      this.#end(live)
      return
    }
    const startedAtMs = gang?.startedAtMs ?? this.#nowMs
    if (job.stoppability === 'checkpoint') {
      const overheadMs = live.attempts > 1 ? resumeMs : 0
      const ranMs = this.#nowMs - checkpointMs - startedAtMs - overheadMs
      live.doneMs = Math.min(job.runTimeMs, live.doneMs + Math.max(0, ranMs))
    }
    this.#requeue(live, 0)
  }

  #requeue(live: LiveJob, retryAtMs: number): void {
    delete live.gang
    delete live.stopAtMs
    live.queuedAtMs = this.#nowMs
    live.retryAtMs = retryAtMs
  }

  #decideOnce(): void {
    this.#rounds += 1
    for (const decision of this.#policy.decide(this.#createView())) this.#carryOut(decision)
  }

  #carryOut(decision: PlacementDecision): void {
    const live = this.#live.get(decision.jobId)
    if (live === undefined) return
    switch (decision.kind) {
      case 'place':
        this.#start(live, decision.blocks)
        return
      case 'preempt':
        this.#preemptions += 1
        this.#stop(live, decision.withCheckpoint ? checkpointMs : stopMs)
        return
      case 'refuse':
        this.#end(live)
        return
      case 'wait':
    }
  }

  #start(live: LiveJob, blocks: readonly Block[]): void {
    const { job } = live
    const fails = blocks.some((block) => this.#upstreams.isFailing(block.upstreamId, this.#nowMs))
    const overheadMs = live.attempts > 0 ? resumeMs : 0
    const leftMs = fails ? failAfterMs : job.runTimeMs - live.doneMs + overheadMs
    live.attempts += 1
    live.firstStartMs ??= this.#nowMs
    live.gang = {
      ...job,
      blocks,
      isStopping: false,
      startedAtMs: this.#nowMs,
      checkpointedAtMs: undefined,
      expectedRunTimeMs: this.#expect(job),
      attempts: live.attempts,
      endMs: this.#nowMs + leftMs,
      fails,
    }
  }

  #expect({ workspace, declaredRunTimeMs }: TraceJob): number {
    return this.#correction?.estimateRunTimeMs(workspace, declaredRunTimeMs) ?? declaredRunTimeMs
  }

  #createView(): PlacementView {
    const nowMs = this.#nowMs
    const live = [...this.#live.values()]
    return {
      nowMs,
      upstreams: this.#upstreams.createView(nowMs),
      running: live.flatMap(({ gang, stopAtMs }) =>
        gang === undefined ? [] : [{ ...gang, isStopping: stopAtMs !== undefined }],
      ),
      waiting: live
        .filter(({ gang, retryAtMs }) => gang === undefined && retryAtMs <= nowMs)
        .map(({ job, queuedAtMs }) => {
          const expectedRunTimeMs = this.#expect(job)
          return { ...job, submittedAtMs: job.arriveMs, queuedAtMs, expectedRunTimeMs }
        }),
      contracts: this.#trace.contracts,
    }
  }
}
