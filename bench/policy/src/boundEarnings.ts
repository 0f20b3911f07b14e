/**
 * What any scheduler could earn at most on a day, also one that knows all arrivals, run times, losses and evacuations
 * beforehand. Relaxed, so that the bound is easy to show right: no gangs and racks; work is divisible and as parallel as
 * one likes; no run fails, and every upstream works at its usual pace; time comes in slots of a second. For one resource a
 * job is then an amount of it that may be used between the job's arrival and its limit. Each resource gives a bound, and
 * the least of them holds.
 *
 * A job earns its late worth by what is done within the late limit, and the rest of its worth by what is done in time.
 * Both sums are made as large as possible, each on all the room: together they are no less than the best of one plan.
 * For one of them it is best to admit jobs by their worth for each unit of the resource, as much of each as fits beside
 * those before it.
 */
import type { Resources } from '@nettlespur/batch.model'
import { minOf } from '@nettlespur/core.lists'
import type { CrowdedDay } from './crowdedDay.js'
import type { DayJob } from './dayJob.js'
import { isWithin } from './dayTroubles.js'
import { lateLimitTimes, measureObjectiveMs } from './sumEarnings.js'
import { WorkSlots, type Work } from './workSlots.js'

const slotMs = 1000
const resources: readonly (keyof Resources)[] = ['accelerators', 'cpuMillicores', 'memoryMiB']

interface Offer extends Work {
  readonly worth: number
}

/** As a share of what the jobs that are neither cancelled nor crash their upstreams could earn. */
export function boundEarnings(day: CrowdedDay): number {
  const { cancelAfterMs, crashingJobs } = day.troubles
  const jobs = day.jobs.filter(
    ({ request: { jobId } }) => !cancelAfterMs.has(jobId) && !crashingJobs.has(jobId),
  )
  const owed = jobs.reduce((sum, { value }) => sum + value, 0)
  const bounds = resources.map((resource) => {
    const room = new RoomSlots(day, resource)
    const late = jobs.map((job) => room.toOffer(job, lateLimitTimes, lateWorthOf(job)))
    const inTime = jobs.map((job) => room.toOffer(job, 1, job.value - lateWorthOf(job)))
    return (room.admitBest(late) + room.admitBest(inTime)) / owed
  })
  return minOf(bounds)
}

function lateWorthOf({ kind, value }: DayJob): number {
  return (value * kind.lateWorth) / kind.worth
}

/**
 * The room of one resource in each slot, followed by the room of evacuated data centres in each slot, which only jobs that
 * came before the evacuation may use.
 */
class RoomSlots {
  readonly #day: CrowdedDay
  readonly #resource: keyof Resources
  readonly #slotCount: number
  readonly #room: readonly number[]

  constructor(day: CrowdedDay, resource: keyof Resources) {
    this.#day = day
    this.#resource = resource
    this.#slotCount = Math.ceil((day.lengthMs + day.finishMs) / slotMs)
    this.#room = [...this.#listRoom(false), ...this.#listRoom(true)]
  }

  toOffer(job: DayJob, limitTimes: number, worth: number): Offer {
    const { arriveMs, request, runTimesMs } = job
    const limitMs = arriveMs + measureObjectiveMs(job) * limitTimes
    const amount = request.steps.reduce((sum, { taskCount, needs }, at) => {
      return sum + taskCount * needs[this.#resource] * ((runTimesMs[at] ?? 0) / slotMs)
    }, 0)
    // A slot that is begun counts whole, at both ends.
    const fromSlot = Math.floor(arriveMs / slotMs)
    const toSlot = Math.min(this.#slotCount, Math.ceil(limitMs / slotMs))
    const mayRunInEvacuated = this.#day.evacuations.some(({ fromMs }) => arriveMs < fromMs)
    return {
      fromSlot,
      toSlot,
      ...(mayRunInEvacuated ? { otherFromSlot: this.#slotCount + fromSlot } : {}),
      amount,
      worth,
    }
  }

  admitBest(offers: readonly Offer[]): number {
    const slots = new WorkSlots(this.#room)
    const denseFirst = [...offers].sort(
      (left, right) => right.worth / right.amount - left.worth / left.amount,
    )
    return denseFirst.reduce((sum, offer) => {
      return sum + (offer.worth * slots.admit(offer)) / offer.amount
    }, 0)
  }

  /** An upstream that is lost or evacuated within a slot still counts in it. */
  #listRoom(isEvacuated: boolean): number[] {
    const { upstreams, losses, evacuations, troubles } = this.#day
    return Array.from({ length: this.#slotCount }, (_, slot) => {
      const atMs = slot * slotMs
      const lost = new Set(
        losses.filter((loss) => loss.atMs <= atMs).map((loss) => loss.upstreamId),
      )
      const evacuated = new Set(
        evacuations.filter((span) => isWithin(span, atMs)).map(({ dataCentre }) => dataCentre),
      )
      return upstreams
        .filter(({ upstreamId }) => !lost.has(upstreamId))
        .filter(({ dataCentre }) => evacuated.has(dataCentre) === isEvacuated)
        .reduce((sum, { upstreamId, capacity }) => {
          return sum + capacity[this.#resource] * (troubles.paces.get(upstreamId) ?? 1)
        }, 0)
    })
  }
}
