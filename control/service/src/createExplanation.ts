/** Explains to the caller what a job waits for, from the state and the last placement round. */
import type { JobExplanation, Shape, UpstreamView } from '@nettlespur/api.schemas'
import type { ControlState, JobRecord } from '@nettlespur/control.state'

/** Upstreams, or jobs, that are listed individually. */
const namedMax = 3

export interface ExplainOptions {
  state: ControlState
  upstreams: readonly UpstreamView[]
  job: JobRecord
  /** Why the last placement round left the job waiting; undefined if no round has considered it yet. */
  waitReason: string | undefined
}

export function createExplanation(opts: ExplainOptions): JobExplanation['waitsFor'] {
  const { job, waitReason } = opts
  if (job.state === 'stopping') return [describeStopping(job)]
  if (job.state !== 'queued') return []
  const { gang, cpuCores, memoryBytes } = job.request
  const asks = `asks for ${describeShape(gang)}, ${cpuCores} cores and ${memoryBytes} bytes`
  const since = job.decisions.findLast((one) => one.event === 'job.requeued')?.at ?? job.submittedAt
  return [
    waitReason ?? job.reason,
    `${asks}; queued since ${since}, attempt ${job.attempts + 1}`,
    ...describeHolders(opts),
    ...describeJobsAhead(opts),
    ...describeEvacuations(opts),
    ...describeAvoidedUpstreams(opts),
  ]
}

export function describeShape({ accelerators, adjacency }: Shape): string {
  const where = adjacency === 'none' ? 'anywhere' : `on one ${adjacency}`
  return `${accelerators} accelerators ${where}`
}

function describeStopping({ placement, reason }: JobRecord): string {
  const upstreams = placement?.members.map((member) => member.upstreamId).join(', ') ?? 'none'
  return `waits until its members on ${upstreams} are known to have stopped: ${reason}`
}

/** Describes the jobs on those occupied upstreams that have the most free accelerators. */
function describeHolders({ state, upstreams, job }: ExplainOptions): string[] {
  const ready = upstreams.filter((view) => view.state === 'ready')
  const holdersById = groupHolders(state)
  const places = ready.map(({ upstreamId, accelerators }) => {
    const holders = holdersById.get(upstreamId) ?? []
    const held = holders.reduce((sum, holder) => sum + holder.count, 0)
    return { upstreamId, holders, freeCount: accelerators - held }
  })
  return places
    .filter(({ holders }) => holders.length > 0)
    .sort((left, right) => right.freeCount - left.freeCount)
    .slice(0, namedMax)
    .map(({ upstreamId, holders, freeCount }) => {
      const named = holders.map((holder) => describeHolder(holder, job))
      return `on ${upstreamId} ${freeCount} accelerators are free; ${named.join(', ')}`
    })
}

interface Holder {
  readonly job: JobRecord
  readonly count: number
}

function groupHolders(state: ControlState): Map<string, Holder[]> {
  const holdersById = new Map<string, Holder[]>()
  for (const job of state.listLiveJobs()) {
    for (const { upstreamId, acceleratorIndexes } of job.placement?.members ?? []) {
      const holders = holdersById.get(upstreamId) ?? []
      holders.push({ job, count: acceleratorIndexes.length })
      holdersById.set(upstreamId, holders)
    }
  }
  return holdersById
}

/** Does not disclose the ids of jobs of other workspaces. */
function describeHolder({ job, count }: Holder, asking: JobRecord): string {
  const own = job.request.workspace === asking.request.workspace
  const who = own ? job.jobId : 'a job of another workspace'
  const since = job.startedAt === undefined ? job.state : `${job.state} since ${job.startedAt}`
  return `${who} holds ${count} (${since}${describeStoppable(job)})`
}

function describeStoppable({ request }: JobRecord): string {
  if (request.checkpointable) return ', may be stopped after a checkpoint'
  return request.repeatable ? ', may be stopped' : ', is never preempted'
}

function describeJobsAhead({ state, job }: ExplainOptions): string[] {
  const ahead: JobRecord[] = []
  for (const other of state.listLiveJobs()) {
    if (other.jobId === job.jobId) break
    if (other.state === 'queued') ahead.push(other)
  }
  if (ahead.length === 0) return []
  const own = ahead.filter((other) => other.request.workspace === job.request.workspace)
  const named = own.slice(0, namedMax).map((other) => other.jobId)
  const names = named.length === 0 ? '' : `, of its own workspace ${named.join(', ')}`
  return [`${ahead.length} jobs were submitted before it and wait too${names}`]
}

function describeEvacuations({ upstreams }: ExplainOptions): string[] {
  const evacuated = upstreams.filter((view) => view.state === 'evacuated')
  const dataCentres = [...new Set(evacuated.map((view) => view.dataCentre))]
  return dataCentres.map((dataCentre) => {
    const inside = evacuated.filter((view) => view.dataCentre === dataCentre)
    const accelerators = inside.reduce((sum, view) => sum + view.accelerators, 0)
    return `${dataCentre} is evacuated: its ${accelerators} accelerators on ${inside.length} upstreams get no new work`
  })
}

function describeAvoidedUpstreams({ upstreams, job }: ExplainOptions): string[] {
  const quarantined = upstreams.filter((view) => view.state === 'quarantined')
  const ids = quarantined.map((view) => view.upstreamId)
  const lines =
    ids.length === 0 ? [] : [`quarantined upstreams are not considered: ${ids.join(', ')}`]
  const failed = job.failedUpstreamIds
  return failed.length === 0 ? lines : [...lines, `it failed before on ${failed.join(', ')}`]
}
