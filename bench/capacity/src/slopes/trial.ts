/** A cluster of the real daemons for one slope, with what slopes do to it. */
import { readFileSync } from 'node:fs'
import path from 'node:path'
import type { Clock } from '@nettlespur/core.clock'
import { SystemClock } from '@nettlespur/core.clock'
import {
  callEntry,
  createTrialContract,
  TrialCluster,
  waitUntil,
  type TrialClusterOptions,
} from '@nettlespur/daemons.trial'
import { createKey } from '@nettlespur/net.keys'
import { Fleet } from './fleet.js'
import { measureRates, type RatesByRole } from './rates.js'

/** Until a new process has loaded what it needs at rest: reading it counts as bytes. */
const warmUpMs = 12_000
const settleMs = 4000
const windowMs = 10_000
/** High enough to bind nothing here. */
const unlimited = 100_000
const millisecondsPerHour = 3_600_000
const submissionsAtOnce = 8
const contractStatusOk = 200
const jobStatusAccepted = 202

export type TrialSettings = Pick<Partial<TrialClusterOptions>, 'controlSettings' | 'entrySettings'>

export class Trial {
  readonly clock: Clock = new SystemClock()
  readonly callerKey = createKey()
  readonly #cluster: TrialCluster
  readonly #fleet = new Fleet()
  #upstreams = 0
  #jobs = 0

  private constructor(cluster: TrialCluster) {
    this.#cluster = cluster
  }

  /** One control and `entries` entries, with the settings given over their defaults. */
  static async start(entries: number, settings: TrialSettings = {}): Promise<Trial> {
    const opts = { controls: 1, entries, upstreams: 0, ...settings }
    const trial = new Trial(await TrialCluster.start(opts))
    await trial.clock.sleep(warmUpMs)
    return trial
  }

  async close(): Promise<void> {
    await this.#fleet.end()
    await this.#cluster.close()
  }

  async growUpstreams(count: number): Promise<void> {
    const added = count - this.#upstreams
    if (added <= 0) return
    this.#upstreams = count
    const key = readFileSync(path.join(this.#cluster.folder, 'upstreams.key'), 'utf8').trim()
    const entries = this.#cluster.entries.map((entry) => entry.address)
    await this.#fleet.add({ prefix: `f${count}`, count: added, entries, key })
    await this.#waitForStatus((status) => status.upstreams.length === count)
  }

  /** Jobs of one accelerator that run for an hour. */
  async growJobs(workspace: string, count: number): Promise<void> {
    while (this.#jobs < count) {
      const batch = Math.min(submissionsAtOnce, count - this.#jobs)
      await Promise.all(Array.from({ length: batch }, () => this.#submitJob(workspace)))
      this.#jobs += batch
    }
    if (count > 0) await this.#waitForStatus((status) => status.jobs.running === count)
  }

  /** Applies a contract and waits until it is in force at every entry; how long that took. */
  async putContract(workspace: string, revision: number): Promise<number> {
    const contract = createTrialContract(workspace, this.callerKey)
    const limits = {
      ...contract.limits,
      concurrentAccelerators: unlimited,
      queuedJobs: unlimited,
      requestBurst: 1000 + revision,
    }
    const startMs = this.clock.monotonicMs()
    await this.#call({
      key: this.#cluster.operatorKey,
      method: 'PUT',
      path: `/v1/contracts/${workspace}?wait=in-force`,
      headers: { 'if-match': String(revision), 'idempotency-key': `${workspace}-${revision}` },
      body: JSON.stringify({ ...contract, guarantees: [], limits }),
      status: contractStatusOk,
    })
    return this.clock.monotonicMs() - startMs
  }

  async settle(): Promise<void> {
    await this.clock.sleep(settleMs)
  }

  /** The rates of the control and of the first entry. */
  measure(spanMs = windowMs): Promise<RatesByRole> {
    const [control] = this.#cluster.controls
    const [entry] = this.#cluster.entries
    const pids = { control: control?.process.pid ?? 0, entry: entry?.process.pid ?? 0 }
    return measureRates(this.clock, pids, spanMs)
  }

  async #submitJob(workspace: string): Promise<void> {
    const job = {
      workspace,
      gang: { accelerators: 1, adjacency: 'upstream' },
      cpuCores: 1,
      memoryBytes: 1024,
      expectedRunTimeMs: millisecondsPerHour,
      repeatable: true,
      payload: JSON.stringify({ runTimeMs: millisecondsPerHour }),
    }
    await this.#call({
      key: this.callerKey,
      method: 'POST',
      path: '/v1/jobs',
      body: JSON.stringify(job),
      status: jobStatusAccepted,
    })
  }

  async #waitForStatus(matches: (status: TrialStatus) => boolean): Promise<void> {
    await waitUntil('the status that a trial starts from', async () => {
      const call = {
        key: this.#cluster.operatorKey,
        method: 'GET',
        path: '/v1/status',
        status: 200,
      }
      const status = (await this.#call(call)) as TrialStatus
      return matches(status) ? status : undefined
    })
  }

  async #call(call: {
    key: string
    method: string
    path: string
    headers?: Record<string, string>
    body?: string
    status: number
  }): Promise<unknown> {
    const { status, ...sent } = call
    const address = this.#cluster.entries[0]?.address ?? ''
    const answer = await callEntry({ address, ...sent })
    if (answer.status === status) return answer.json
    throw new Error(`${call.method} ${call.path}: ${answer.status} ${answer.text}`)
  }
}

interface TrialStatus {
  readonly upstreams: readonly unknown[]
  readonly jobs: Readonly<Record<string, number>>
}
