/**
 * What any scheduler could earn at most on a crowded day, also one that knows all arrivals, run times and losses
 * beforehand. Relaxed, so that the bound is easy to show right: no gangs, racks, processors or memory; work is divisible
 * and as parallel as one likes; no run fails; time comes in slots of a second. A job is then an amount of
 * accelerator-seconds that may be done between its arrival and its limit.
 *
 * A job earns its late worth by what is done within the late limit, and the rest of its worth by what is done in time.
 * Both sums are made as large as possible, each on all the room: together they are no less than the best of one plan.
 * For one of them it is best to admit jobs by their worth for each accelerator-second, as much of each as fits beside
 * those before it.
 */
import { finishMs, type CrowdedDay, type DayJob } from './crowdedDay.js'
import { acceleratorsPerUpstream } from './deployment.js'
import { lateLimitTimes, measureObjectiveMs } from './sumEarnings.js'
import { WorkSlots, type Work } from './workSlots.js'

const slotMs = 1000

interface Offer extends Work {
  readonly worth: number
}

/** As a share of what all jobs could earn. */
export function boundEarnings(day: CrowdedDay): number {
  const owed = day.jobs.reduce((sum, { value }) => sum + value, 0)
  const late = day.jobs.map((job) => toOffer(job, lateLimitTimes, lateWorthOf(job)))
  const inTime = day.jobs.map((job) => toOffer(job, 1, job.value - lateWorthOf(job)))
  return (admitBest(day, late) + admitBest(day, inTime)) / owed
}

function lateWorthOf({ kind, value }: DayJob): number {
  return (value * kind.lateWorth) / kind.worth
}

function toOffer(job: DayJob, limitTimes: number, worth: number): Offer {
  const { arriveMs, request, runTimesMs } = job
  const limitMs = arriveMs + measureObjectiveMs(job) * limitTimes
  const amount = request.steps.reduce((sum, { taskCount, needs }, at) => {
    return sum + taskCount * needs.accelerators * ((runTimesMs[at] ?? 0) / slotMs)
  }, 0)
  // A slot that is begun counts whole, at both ends.
  return {
    fromSlot: Math.floor(arriveMs / slotMs),
    toSlot: Math.ceil(limitMs / slotMs),
    amount,
    worth,
  }
}

function admitBest(day: CrowdedDay, offers: readonly Offer[]): number {
  const slots = new WorkSlots(listRoom(day))
  const denseFirst = [...offers].sort(
    (left, right) => right.worth / right.amount - left.worth / left.amount,
  )
  return denseFirst.reduce((sum, offer) => {
    return sum + (offer.worth * slots.admit(offer)) / offer.amount
  }, 0)
}

/** Accelerators in each slot; an upstream that is lost within a slot still counts in it. */
function listRoom({ upstreams, losses, lengthMs }: CrowdedDay): number[] {
  const slotCount = Math.ceil((lengthMs + finishMs) / slotMs)
  return Array.from({ length: slotCount }, (_, slot) => {
    const lost = new Set(
      losses.filter(({ atMs }) => atMs <= slot * slotMs).map((loss) => loss.upstreamId),
    )
    return (upstreams.length - lost.size) * acceleratorsPerUpstream
  })
}
