/** Troubled days on which jobs that are not urgent name the racks where their data is, and upstreams leave until some racks are nearly empty. */
import type { StepSpec } from '@nettlespur/batch.model'
import { SeededRandom } from '@nettlespur/bench.placement'
import { createTroubledDay, type CrowdedDay, type Loss } from './crowdedDay.js'
import type { DayJob } from './dayJob.js'
import type { Deployment } from './deployment.js'

const dataRackShare = 0.3
const leavingShare = 0.4

export function createThinnedDay(deployment: Deployment, seed: number): CrowdedDay {
  const day = createTroubledDay(deployment, seed)
  const random = new SeededRandom(~seed * 3)
  const racks = [...new Set(day.upstreams.map(({ rack }) => rack))]
  const drawRack = (): string => random.pick(racks.map((rack) => [rack, 1] as const))
  const jobs = day.jobs.map((job) =>
    job.kind.priority > 0 && random.chance(dataRackShare) ? bind(job, drawRack()) : job,
  )
  const leaving = day.upstreams.flatMap(({ upstreamId }): Loss[] =>
    random.chance(leavingShare) ? [{ upstreamId, atMs: random.between(0, day.lengthMs) }] : [],
  )
  return { ...day, jobs, losses: [...day.losses, ...leaving] }
}

function bind(job: DayJob, dataRack: string): DayJob {
  const steps = job.request.steps.map((step): StepSpec => ({ ...step, dataRack }))
  return { ...job, request: { ...job.request, steps } }
}
