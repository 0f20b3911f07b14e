/** Checks of what leaders of a fake fleet send and commit. Violations are recorded in the ledger. */
import type { FleetLedger } from '@nettlespur/batch.fakes'
import { runKey, type RunRef } from '@nettlespur/batch.model'
import type { BatchState } from '@nettlespur/batch.state'

export interface FleetChecksOptions {
  state: BatchState
  ledger: FleetLedger
}

export class FleetChecks {
  readonly #opts: FleetChecksOptions
  readonly #failedJobs = new Set<string>()

  constructor(opts: FleetChecksOptions) {
    this.#opts = opts
  }

  /** Checks a start that a leader sends. */
  checkStart(upstreamId: string, run: RunRef): void {
    const { state, ledger } = this.#opts
    if (state.isEvacuated(upstreamId))
      ledger.violations.push(`${runKey(run)} was sent to ${upstreamId}, which is evacuated`)
  }

  /** Checks the jobs that have failed since the last call. To be called after each command. */
  checkFailedJobs(): void {
    const { state, ledger } = this.#opts
    for (const [jobId, { status, failure }] of state.jobs) {
      if (status !== 'failed' || this.#failedJobs.has(jobId)) continue
      this.#failedJobs.add(jobId)
      if (!ledger.canBeGivenUp(jobId))
        ledger.violations.push(`${jobId} is given up without cause, as ${failure?.reason}`)
    }
  }
}
