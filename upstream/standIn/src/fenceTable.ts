/** The highest fence seen for each job, and the highest one under which a stop forbids any start. */
import { NettlespurError } from '@nettlespur/core.errors'
import { Left, Right, type Either } from 'purify-ts'

const jobsKept = 100_000

interface JobFences {
  readonly highest: number
  readonly stoppedThrough: number
}

const noFences: JobFences = { highest: 0, stoppedThrough: 0 }

export class FenceTable {
  readonly #byJob = new Map<string, JobFences>()

  /** Admits a call at the job's highest fence or above. Errors: `fence-too-low`. */
  admit(jobId: string, fence: number): Either<NettlespurError, undefined> {
    const known = this.#get(jobId)
    if (fence < known.highest) {
      const message = `job ${jobId}: fence ${fence} is lower than ${known.highest}`
      return Left(new NettlespurError('fence-too-low', message))
    }
    this.#set(jobId, { ...known, highest: fence })
    return Right(undefined)
  }

  forbidStarts(jobId: string, fence: number): void {
    const known = this.#get(jobId)
    this.#set(jobId, {
      highest: Math.max(known.highest, fence),
      stoppedThrough: Math.max(known.stoppedThrough, fence),
    })
  }

  mayStart(jobId: string, fence: number): boolean {
    return fence > this.#get(jobId).stoppedThrough
  }

  #get(jobId: string): JobFences {
    return this.#byJob.get(jobId) ?? noFences
  }

  /** Keeps the most recently used jobs. */
  #set(jobId: string, fences: JobFences): void {
    this.#byJob.delete(jobId)
    this.#byJob.set(jobId, fences)
    const [oldest] = this.#byJob.keys()
    if (this.#byJob.size > jobsKept && oldest !== undefined) this.#byJob.delete(oldest)
  }
}
