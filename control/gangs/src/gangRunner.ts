/**
 * Runs one placed gang from its reservation to its end, as one straight line: reserve all members, commit
 * the start before it is sent, start, renew until the end, collect, commit. Whatever breaks the gang stops
 * all of its members before their accelerators are handed on.
 */
import type { Placement, ReserveTask } from '@nettlespur/api.schemas'
import type { Command, CommandResult, JobRecord } from '@nettlespur/control.state'
import { filter, merge, type Observable } from 'rxjs'
import { chooseCommand } from './chooseCommand.js'
import { collectAnswer } from './collectAnswer.js'
import { GangMember } from './gangMember.js'
import type { GangOptions } from './gangOptions.js'
import { judgeMembers, type GangBroken, type GangOutcome } from './gangOutcome.js'
import { waitForWake } from './waitForWake.js'

const firstPollMs = 50
const commitRetryMs = 200
/** A refused command about the end of a job is chosen anew this often: a cancel may have come between. */
const settleTriesMax = 3

export class GangRunner {
  readonly #opts: GangOptions
  readonly #jobId: string
  readonly #placement: Placement
  readonly #members: readonly GangMember[]
  readonly #signal: AbortSignal

  /** `signal` ends the run without any further call: the gang goes on under its next leader. */
  constructor(opts: GangOptions, job: JobRecord, placement: Placement, signal: AbortSignal) {
    const { fence, members } = placement
    this.#opts = opts
    this.#jobId = job.jobId
    this.#placement = placement
    this.#members = members.map((member) => new GangMember(opts, job.jobId, member, fence))
    this.#signal = signal
  }

  /** From the reservation on. */
  async run(job: JobRecord): Promise<void> {
    const refusal = await this.#reserveAll(job)
    const unstarted = refusal ?? (await this.#commitStart())
    const outcome = unstarted ?? (await this.#watch())
    await this.#end(outcome)
  }

  /** Takes over a gang that another leader placed: what has not started is undone, what has goes on. */
  async resume(job: JobRecord): Promise<void> {
    for (const member of this.#members) member.adopt()
    const outcome = job.state === 'running' ? await this.#watch() : describeUnfinished(job)
    await this.#end(outcome)
  }

  async #reserveAll(job: JobRecord): Promise<GangBroken | undefined> {
    const { taskLeaseMs } = this.#opts.timings
    const answers = await Promise.all(
      this.#members.map((member, rank) => {
        return member.reserve(createReserveBody(job, this.#placement, rank, taskLeaseMs))
      }),
    )
    this.#signal.throwIfAborted()
    for (const [rank, member] of this.#members.entries()) {
      const error = answers[rank]?.swap().toMaybe().extractNullable()
      if (member.state === 'reserved') continue
      const cause = error?.message ?? `the task is ${member.state ?? 'silent'}`
      const reason = `${member.upstreamId} did not reserve: ${cause}`
      return { kind: 'lost', reason, startSent: false }
    }
    return undefined
  }

  /** Committed for every job, repeatable or not, so that a later leader knows what may have run. */
  async #commitStart(): Promise<GangBroken | undefined> {
    const { fence } = this.#placement
    const at = this.#opts.clock.now().toISOString()
    const result = await this.#commit({ type: 'job.started', at, jobId: this.#jobId, fence })
    if (result.type !== 'refused') return undefined
    const job = this.#readJob()
    if (job?.state === 'running') return undefined
    return { kind: 'lost', reason: result.error.message, startSent: false }
  }

  async #watch(): Promise<GangOutcome> {
    const { clock, timings } = this.#opts
    let pauseMs = firstPollMs
    for (;;) {
      await Promise.all(this.#members.map((member) => member.renewAndStart()))
      this.#signal.throwIfAborted()
      const verdict = judgeMembers(this.#members)
      if (verdict === 'finished') return collectAnswer(this.#opts, this.#members, this.#signal)
      if (verdict !== undefined) return verdict
      if (this.#isCancelled()) return this.#describeCancel()
      const leaseLeftMs = Math.min(...this.#members.map((member) => member.leaseLeftMs))
      await waitForWake(clock, Math.min(pauseMs, leaseLeftMs), this.#listWakes(), this.#signal)
      this.#signal.throwIfAborted()
      pauseMs = Math.min(pauseMs * 2, timings.renewTasksEveryMs)
    }
  }

  /** Stops what is left, then commits how the job goes on. */
  async #end(outcome: GangOutcome): Promise<void> {
    const settled = outcome.kind === 'finished' ? outcome : await this.#stopAll(outcome)
    for (let tries = 0; tries < settleTriesMax; tries++) {
      const job = this.#readJob()
      if (job === undefined) return
      const { clock, random } = this.#opts
      const { fence } = this.#placement
      const command = chooseCommand({ job, fence, outcome: settled, now: clock.now(), random })
      const result = await this.#commit(command)
      this.#logEnd(command, result)
      if (result.type !== 'refused') return
      if (result.error.kind === 'body-too-large') {
        await this.#end({ kind: 'failed', reason: result.error.message, startSent: true })
        return
      }
    }
  }

  /** A cancelled gang that proves to have finished in the meantime gives its answer after all. */
  async #stopAll(outcome: GangBroken): Promise<GangOutcome> {
    const stops = await Promise.all(this.#members.map((member) => member.stop(this.#signal)))
    if (outcome.kind !== 'cancelled' || stops.some((stop) => stop !== 'finished')) return outcome
    return collectAnswer(this.#opts, this.#members, this.#signal)
  }

  async #commit(command: Command): Promise<CommandResult> {
    for (;;) {
      this.#signal.throwIfAborted()
      const outcome = await this.#opts.log.propose(command).run()
      if (outcome.isRight()) return outcome.extract()
      const { jobId } = this.#describe()
      this.#opts.logger.warn({ event: 'gang.commit-failed', jobId, type: command.type })
      await this.#opts.clock.sleep(commitRetryMs, this.#signal)
    }
  }

  /** The job as it stands, while this placement is still its own. */
  #readJob(): JobRecord | undefined {
    const job = this.#opts.holder.state.getLiveJob(this.#jobId)
    return job?.placement?.fence === this.#placement.fence ? job : undefined
  }

  #isCancelled(): boolean {
    return this.#readJob()?.cancelRequested !== false
  }

  #describeCancel(): GangBroken {
    const startSent = this.#members.some((member) => member.startMayHaveLeft)
    return { kind: 'cancelled', reason: 'stopped for its caller', startSent }
  }

  #listWakes(): Observable<unknown> {
    const taskIds = new Set(this.#members.map((member) => member.task.taskId))
    const changedTasks = this.#opts.taskReports.pipe(
      filter(({ taskId, state }) => taskIds.has(taskId) && state !== 'running'),
    )
    const cancelled = this.#opts.holder.applied.pipe(filter(() => this.#isCancelled()))
    return merge(changedTasks, cancelled)
  }

  #logEnd(command: Command, result: CommandResult): void {
    const { logger } = this.#opts
    const head = { ...this.#describe(), type: command.type }
    if (result.type === 'refused') {
      logger.warn({ event: 'gang.settle-refused', ...head, reason: result.error.message })
    }
    if (result.type === 'job') {
      logger.info({
        event: 'gang.ended',
        ...head,
        state: result.job.state,
        reason: result.job.reason,
      })
    }
  }

  #describe(): { jobId: string; fence: number } {
    return { jobId: this.#jobId, fence: this.#placement.fence }
  }
}

function describeUnfinished(job: JobRecord): GangBroken {
  const startSent = job.startCommitted
  if (job.cancelRequested) return { kind: 'cancelled', reason: 'stopped for its caller', startSent }
  return { kind: 'lost', reason: 'its leader was lost before the start', startSent }
}

/** Processors and memory go by accelerators. */
function createReserveBody(
  job: JobRecord,
  placement: Placement,
  rank: number,
  leaseMs: number,
): ReserveTask {
  const { gang, cpuCores, memoryBytes, workspace, payload } = job.request
  const acceleratorIndexes = placement.members[rank]?.acceleratorIndexes ?? []
  const share = acceleratorIndexes.length / gang.accelerators
  return {
    jobId: job.jobId,
    fence: placement.fence,
    workspace,
    rank,
    gangSize: placement.members.length,
    acceleratorIndexes,
    cpuCores: cpuCores * share,
    memoryBytes: Math.floor(memoryBytes * share),
    leaseMs,
    payload,
  }
}
