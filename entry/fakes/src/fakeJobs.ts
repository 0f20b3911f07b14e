/** The jobs of a fake control. They change only through calls and through the test: nothing runs them. */
import type { JobAnswer, JobRequest, JobView } from '@nettlespur/api.schemas'
import type { JobOutcome, JobReference } from '@nettlespur/control.api'
import { NettlespurError } from '@nettlespur/core.errors'

export class FakeJobs {
  readonly byId = new Map<string, JobOutcome>()

  add(jobId: string, { workspace, gang }: JobRequest, submittedAt: Date): JobView {
    const job: JobView = {
      jobId,
      workspace,
      state: 'queued',
      reason: 'waits for accelerators',
      gang,
      attempts: 0,
      submittedAt: submittedAt.toISOString(),
    }
    this.byId.set(jobId, { job })
    return job
  }

  /** Errors: throws `unknown-job`. */
  change(jobId: string, change: Partial<JobView>, answer?: JobAnswer): void {
    const { job } = this.#get(jobId)
    this.byId.set(jobId, { job: { ...job, ...change }, answer })
  }

  /** Errors: throws `unknown-job`, also for a job of another workspace. */
  find({ jobId, workspace }: JobReference): JobOutcome {
    const found = this.#get(jobId)
    if (found.job.workspace === workspace) return found
    throw new NettlespurError('unknown-job', jobId)
  }

  #get(jobId: string): JobOutcome {
    const found = this.byId.get(jobId)
    if (found !== undefined) return found
    throw new NettlespurError('unknown-job', jobId)
  }
}
