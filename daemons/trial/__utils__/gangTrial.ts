/** A trial cluster whose upstreams are known, with one contract, for tests of gangs. */
import type { JobExplanation, JobRequest, JobView } from '@nettlespur/api.schemas'
import type { ErrorBody } from '@nettlespur/core.errors'
import { createKey } from '@nettlespur/net.keys'
import { callEntry, type EntryAnswer } from './callEntry.js'
import { createTrialContract } from './createTrialContract.js'
import { TrialCluster, type TrialClusterOptions, type TrialInstance } from './trialCluster.js'
import { waitUntil } from './waitUntil.js'

const workspace = 'thapa'
const statusAccepted = 202
const timings = {
  taskLeaseMs: 4000,
  renewTasksEveryMs: 500,
  clockDriftMarginMs: 200,
  stopGraceMs: 500,
  upstreamSuspectMs: 1000,
  upstreamGoneMs: 3000,
}

export type GangTrialOptions = Pick<TrialClusterOptions, 'upstreamSettings'> & {
  upstreams: number
  /** One by default. */
  controls?: number
}

/** One task that a stand-in has known. */
export interface TaskRun {
  readonly taskId: string
  readonly fence: number
  readonly startedCount: number
  readonly endState: string
}

export class GangTrial {
  readonly cluster: TrialCluster
  readonly control: TrialInstance
  readonly #entry: TrialInstance
  readonly #callerKey: string

  private constructor(cluster: TrialCluster, callerKey: string) {
    const [control] = cluster.controls
    const [entry] = cluster.entries
    if (control === undefined || entry === undefined) throw new Error('no instance')
    this.cluster = cluster
    this.control = control
    this.#entry = entry
    this.#callerKey = callerKey
  }

  static async start(opts: GangTrialOptions): Promise<GangTrial> {
    const cluster = await TrialCluster.start({
      controls: opts.controls ?? 1,
      entries: 1,
      controlSettings: { timings },
      ...opts,
    })
    const trial = new GangTrial(cluster, createKey())
    await trial.waitForUpstreams()
    await trial.putContract(workspace)
    return trial
  }

  close(): Promise<void> {
    return this.cluster.close()
  }

  async waitForUpstreams(): Promise<void> {
    for (const { id } of this.cluster.upstreams) {
      const heard = this.cluster.controls.map((control) =>
        control.process.waitFor(
          'upstream.changed',
          ({ upstreamId, state }) => upstreamId === id && state === 'ready',
        ),
      )
      await Promise.any(heard)
    }
  }

  /** A workspace in which the same caller may run gangs of any size. */
  async putContract(name: string, accelerators = 0): Promise<void> {
    const contract = createTrialContract(name, this.#callerKey)
    const many = 1000
    const limits = { concurrentAccelerators: many, largestGangAccelerators: many }
    const guarantees =
      accelerators === 0 ? [] : [{ accelerators, adjacency: 'upstream' as const, count: 1 }]
    await callEntry({
      address: this.#entry.address,
      key: this.cluster.operatorKey,
      method: 'PUT',
      path: `/v1/contracts/${name}?wait=in-force`,
      headers: { 'if-match': '0', 'idempotency-key': name },
      body: JSON.stringify({ ...contract, guarantees, limits: { ...contract.limits, ...limits } }),
    })
  }

  /** The id of the accepted job; its work is a script of the stand-in. */
  async submit(fields: Partial<JobRequest>, work: object): Promise<string> {
    const job = {
      workspace,
      gang: { accelerators: 12, adjacency: 'none' },
      cpuCores: 1,
      memoryBytes: 1024,
      expectedRunTimeMs: 1000,
      repeatable: true,
      payload: JSON.stringify(work),
      ...fields,
    }
    const body = JSON.stringify(job)
    return waitUntil('the job to be accepted', async () => {
      const answer = await this.#call('POST', '/v1/jobs', job.workspace, body)
      if (answer.status === statusAccepted) return (answer.json as JobView).jobId
      const refusal = answer.json as ErrorBody
      // An entry may lack control for a moment, and says that nothing was done.
      if (refusal.ran === 'no' && refusal.retryAfterMs !== undefined) return undefined
      throw new Error(answer.text)
    })
  }

  async getJob(jobId: string, from = workspace): Promise<JobView> {
    return (await this.#call('GET', `/v1/jobs/${jobId}`, from)).json as JobView
  }

  async explain(jobId: string): Promise<JobExplanation> {
    const answer = await this.#call('GET', `/v1/jobs/${jobId}/explanation`, workspace)
    return answer.json as JobExplanation
  }

  /** The job as soon as `isReached` holds of it. */
  waitForJob(jobId: string, isReached: (job: JobView) => boolean, from?: string): Promise<JobView> {
    return waitUntil(`job ${jobId} to get that far`, async () => {
      const job = await this.getJob(jobId, from)
      return isReached(job) ? job : undefined
    })
  }

  async setFaults(upstream: TrialInstance, faults: object): Promise<void> {
    await this.callUpstream(upstream, 'POST', '/v1/standin/faults', faults)
  }

  /** Every task of the job that its upstream has known. */
  async listRuns(upstream: TrialInstance, jobId: string): Promise<TaskRun[]> {
    const answer = await this.callUpstream(upstream, 'GET', '/v1/standin/runs')
    return (answer.json as TaskRun[]).filter(({ taskId }) => taskId.startsWith(`${jobId}.`))
  }

  callUpstream(
    { address }: TrialInstance,
    method: string,
    path: string,
    body?: object,
  ): Promise<EntryAnswer> {
    const call = { address, key: this.cluster.readUpstreamKey(), method, path }
    return callEntry(body === undefined ? call : { ...call, body: JSON.stringify(body) })
  }

  /** The upstream of this id. */
  findUpstream(upstreamId: string | undefined): TrialInstance {
    const found = this.cluster.upstreams.find((upstream) => upstream.id === upstreamId)
    if (found === undefined) throw new Error(`no upstream ${upstreamId ?? 'without a name'}`)
    return found
  }

  #call(method: string, path: string, name: string, body?: string): Promise<EntryAnswer> {
    const { address } = this.#entry
    const headers = { 'nettlespur-workspace': name }
    const call = { address, key: this.#callerKey, method, path, headers }
    return callEntry(body === undefined ? call : { ...call, body })
  }
}
