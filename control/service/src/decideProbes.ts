/** Probes quarantined upstreams by placing repeatable jobs on them once their probe time has come. */
import type { UpstreamView } from '@nettlespur/api.schemas'
import type { JobRecord } from '@nettlespur/control.state'
import type { PlaceDecision, WaitingJob } from '@nettlespur/placement.engine'
import { ClusterMap, fitGang, FreeChooser } from '@nettlespur/placement.topology'
import type { DecideRoundOptions } from './decideRoundOptions.js'

/** Waiting jobs that are considered for each upstream. */
const candidatesMax = 50

/** Decides on at most one probe per upstream and round, so that probes increase only as earlier ones succeed. */
export function decideProbes(opts: DecideRoundOptions): PlaceDecision[] {
  const probes: PlaceDecision[] = []
  const due = opts.view.upstreams.filter((upstream) => isProbeDue(opts, upstream))
  for (const upstream of due) {
    const probe = decideProbe(opts, upstream, new Set(probes.map(({ jobId }) => jobId)))
    if (probe !== undefined) probes.push(probe)
  }
  return probes
}

function isProbeDue(
  { state, now }: DecideRoundOptions,
  { upstreamId, state: upstreamState }: UpstreamView,
): boolean {
  const quarantine = state.getUpstreamHealth(upstreamId)?.quarantine
  if (upstreamState !== 'quarantined' || quarantine === undefined) return false
  const gangs = state.listLiveJobs().filter(({ placement }) => {
    return placement?.members.some((member) => member.upstreamId === upstreamId) === true
  })
  return Date.parse(quarantine.probeAt) <= now.getTime() && gangs.length < quarantine.admittedGangs
}

function decideProbe(
  opts: DecideRoundOptions,
  upstream: UpstreamView,
  taken: ReadonlySet<string>,
): PlaceDecision | undefined {
  const candidates = opts.view.waiting
    .filter((job) => !taken.has(job.jobId))
    .slice(0, candidatesMax)
  for (const job of candidates) {
    const record = opts.state.getLiveJob(job.jobId)
    if (record === undefined || !canProbe(opts, job, record, upstream.upstreamId)) continue
    const map = new ClusterMap([{ ...upstream, state: 'ready' }], opts.view.running)
    const blocks = fitGang(map, job, new FreeChooser())
    const reason = `probes ${upstream.upstreamId}, which is quarantined, with a job that may be stopped`
    if (blocks !== undefined) return { kind: 'place', jobId: job.jobId, blocks, reason }
  }
  return undefined
}

function canProbe(
  { view }: DecideRoundOptions,
  job: WaitingJob,
  { request, failedUpstreamIds }: JobRecord,
  upstreamId: string,
): boolean {
  if (job.holdReason !== undefined || job.urgency === 'urgent' || !request.repeatable) return false
  const own = view.running.filter((gang) => gang.workspace === job.workspace)
  const used = own.reduce((sum, { gang }) => sum + gang.accelerators, 0)
  const contract = view.contracts.find(({ workspace }) => workspace === job.workspace)
  const limit = contract?.limits.concurrentAccelerators ?? 0
  return used + job.gang.accelerators <= limit && !failedUpstreamIds.includes(upstreamId)
}
