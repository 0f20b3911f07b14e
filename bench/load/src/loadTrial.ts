/** One entry before two upstreams as processes of their own, and targets for both. */
import { randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import path from 'node:path'
import { taskHeaders, type Contract } from '@nettlespur/api.schemas'
import { SystemClock } from '@nettlespur/core.clock'
import { callEntry, createTrialContract, TrialCluster, waitUntil } from '@nettlespur/daemons.trial'
import { createKey, formatBearerKey } from '@nettlespur/net.keys'
import { HttpTarget } from './httpTarget.js'

/** Slots of the two upstreams together. */
export const slots = 16
/** How long a call may take, in milliseconds. */
export const deadlineMs = 1000
const connectionsMax = 1000
const plenty = 1_000_000
const queuedRequests = 64

const clock = new SystemClock()

export class LoadTrial {
  readonly cluster: TrialCluster
  readonly #key: string
  readonly #targets: HttpTarget[] = []

  private constructor(cluster: TrialCluster, key: string) {
    this.cluster = cluster
    this.#key = key
  }

  static async start(workspaces: readonly string[]): Promise<LoadTrial> {
    const cluster = await TrialCluster.start({ controls: 1, entries: 1, upstreams: 2 })
    const trial = new LoadTrial(cluster, createKey())
    for (const workspace of workspaces) await trial.#putContract(workspace)
    await waitUntil('the first answer', async () => {
      const target = trial.throughEntry(workspaces[0] ?? '', '{}')
      return (await target.send(0)) === 'answered' ? true : undefined
    })
    return trial
  }

  /** Requests of one workspace through the entry. */
  throughEntry(workspace: string, body: string): HttpTarget {
    const { cluster } = this
    return this.#own({
      addresses: cluster.entries.map((entry) => entry.address),
      createPath: () => '/v1/requests',
      createHeaders: () => ({
        authorization: formatBearerKey(this.#key),
        'nettlespur-workspace': workspace,
        'nettlespur-repeatable': 'true',
        'nettlespur-deadline-ms': String(deadlineMs),
      }),
      body,
    })
  }

  /** Requests straight to the upstreams in turn, as a plain round-robin balancer would hand them on. */
  direct(body: string): HttpTarget {
    const key = readFileSync(path.join(this.cluster.folder, 'upstreams.key'), 'utf8').trim()
    return this.#own({
      addresses: this.cluster.upstreams.map((upstream) => upstream.address),
      createPath: () => `/v1/tasks/direct-${randomUUID()}/run`,
      createHeaders: () => ({
        authorization: formatBearerKey(key),
        [taskHeaders.fence]: '1',
        [taskHeaders.attempt]: '1',
        [taskHeaders.leaseMs]: String(deadlineMs),
      }),
      body,
    })
  }

  /** Processor time the entry has used, in seconds. */
  readEntryCpuSeconds(): number {
    const pid = this.cluster.entries[0]?.process.pid ?? 0
    const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
    return (Number(fields[11]) + Number(fields[12])) / 100
  }

  async close(): Promise<void> {
    for (const target of this.#targets) target.close()
    await this.cluster.close()
  }

  #own(
    opts: Omit<
      ConstructorParameters<typeof HttpTarget>[0],
      'clock' | 'timeoutMs' | 'connectionsMax'
    >,
  ) {
    const timeoutMs = deadlineMs * 2
    const target = new HttpTarget({ ...opts, clock, timeoutMs, connectionsMax })
    this.#targets.push(target)
    return target
  }

  async #putContract(workspace: string): Promise<void> {
    const base = createTrialContract(workspace, this.#key)
    const limits = {
      ...base.limits,
      requestsPerSecond: plenty,
      requestBurst: plenty,
      concurrentRequests: slots * 2,
      queuedRequests,
    }
    const contract: Contract = { ...base, guarantees: [], limits }
    const answer = await callEntry({
      address: this.cluster.entries[0]?.address ?? '',
      key: this.cluster.operatorKey,
      method: 'PUT',
      path: `/v1/contracts/${workspace}?wait=in-force`,
      headers: { 'if-match': '0', 'idempotency-key': workspace },
      body: JSON.stringify(contract),
    })
    if (answer.status !== 200) throw new Error(`no contract: ${answer.text}`)
  }
}
