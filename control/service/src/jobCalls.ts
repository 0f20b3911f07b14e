/** Handles calls about jobs; runs on the leader. */
import {
  finalJobStates,
  type JobExplanation,
  type JobRequest,
  type JobView,
  type UpstreamView,
} from '@nettlespur/api.schemas'
import type { AnswerRequest, JobOutcome, JobReference } from '@nettlespur/control.api'
import { waitForWake } from '@nettlespur/control.gangs'
import { readJob, toJobView, type Command, type JobRecord } from '@nettlespur/control.state'
import { NettlespurError, unwrap } from '@nettlespur/core.errors'
import { EitherAsync } from 'purify-ts'
import { filter } from 'rxjs'
import { createExplanation } from './createExplanation.js'
import type { LeaderSession } from './leaderSession.js'
import type { ControlNodeOptions } from './nodeOptions.js'

export class JobCalls {
  readonly #opts: ControlNodeOptions
  readonly #session: LeaderSession

  constructor(opts: ControlNodeOptions, session: LeaderSession) {
    this.#opts = opts
    this.#session = session
  }

  async submit(request: JobRequest): Promise<JobView> {
    await this.#checkFeasible(request)
    return this.#createView(await this.#commit({ type: 'job.submit', at: this.#now(), request }))
  }

  async get(reference: JobReference): Promise<JobView> {
    return this.#createView(await this.#readJob(reference))
  }

  async cancel({ workspace, jobId }: JobReference): Promise<JobView> {
    const at = this.#now()
    return this.#createView(await this.#commit({ type: 'job.cancel', at, workspace, jobId }))
  }

  async explain(reference: JobReference): Promise<JobExplanation> {
    const job = await this.#readJob(reference)
    const waitsFor = createExplanation({
      state: this.#opts.holder.state,
      upstreams: this.#session.upstreams.list(),
      job,
      waitReason: this.#session.placements.getWaitReason(job.jobId),
    })
    return { job: this.#createView(job), waitsFor, decisions: job.decisions }
  }

  async awaitAnswer({ waitMs, ...reference }: AnswerRequest): Promise<JobOutcome> {
    const { clock, holder } = this.#opts
    await this.#readJob(reference)
    const ended = holder.applied.pipe(filter(() => !this.#isLive(reference)))
    await waitForWake(clock, waitMs, ended, this.#session.ended)
    const job = await this.#readJob(reference)
    if (job.state !== 'finished') return { job: this.#createView(job) }
    const answer = holder.state.getAnswer(reference.workspace, reference.jobId)
    if (answer !== undefined) return { job: this.#createView(job), answer }
    throw new NettlespurError(
      'answer-expired',
      `${job.jobId} finished; its answer is no longer kept`,
    )
  }

  /**
   * Refuses a job that the upstreams can never hold, once they have had the time to announce themselves. One that is stored
   * under its key is never refused, so the refusal of a job with a key waits for a confirmed read: this instance may lead no
   * more, and another leader have stored the job. Errors: throws `impossible-shape`, `not-leader` and `no-quorum`.
   */
  async #checkFeasible(request: JobRequest): Promise<void> {
    const upstreams = this.#session.upstreams.list()
    if (this.#mayBeStored(request) || this.#mayFit(request, upstreams)) return
    if (request.jobKey !== undefined) await unwrap(this.#opts.log.readBarrier())
    if (this.#mayBeStored(request)) return
    const { gang, cpuCores, memoryBytes } = request
    throw new NettlespurError(
      'impossible-shape',
      `none of the ${upstreams.length} known upstreams, nor several of them together, can hold ${gang.accelerators} accelerators with adjacency ${gang.adjacency}, ${cpuCores} cores and ${memoryBytes} bytes`,
    )
  }

  #mayBeStored({ workspace, jobKey }: JobRequest): boolean {
    return jobKey !== undefined && this.#opts.holder.state.hasJobKey(workspace, jobKey)
  }

  /** Also true while the upstreams or the contract are not known. */
  #mayFit(request: JobRequest, upstreams: readonly UpstreamView[]): boolean {
    const { holder, policy } = this.#opts
    if (!this.#session.knowsUpstreams) return true
    if (holder.state.getContract(request.workspace) === undefined) return true
    return policy.canEverFit(request, upstreams)
  }

  async #readJob({ workspace, jobId }: JobReference): Promise<JobRecord> {
    await unwrap(this.#opts.log.readBarrier())
    const job = this.#opts.holder.state.getJob(workspace, jobId)
    if (job !== undefined) return job
    throw new NettlespurError('unknown-job', `no job ${jobId} of workspace ${workspace}`)
  }

  #isLive({ workspace, jobId }: JobReference): boolean {
    const job = this.#opts.holder.state.getJob(workspace, jobId)
    return job !== undefined && !finalJobStates.has(job.state)
  }

  #commit(command: Command): Promise<JobRecord> {
    const committed = this.#opts.log
      .propose(command)
      .chain((result) => EitherAsync.liftEither(readJob(result)))
    return unwrap(committed)
  }

  /** Shows why the last placement round left a queued job waiting, if it did, as the job's reason. */
  #createView(job: JobRecord): JobView {
    const view = toJobView(job)
    const waitReason = this.#session.placements.getWaitReason(job.jobId)
    return job.state === 'queued' && waitReason !== undefined
      ? { ...view, reason: waitReason }
      : view
  }

  #now(): string {
    return this.#opts.clock.now().toISOString()
  }
}
