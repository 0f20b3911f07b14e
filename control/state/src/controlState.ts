/**
 * The replicated state: contracts, operator changes, jobs, claims and upstream health. It is deterministic:
 * the same commands in the same order give the same state on every instance, so nothing here reads a clock,
 * a random number or a file.
 */
import type { Claim, ClaimKey, ContractRecord, JobAnswer } from '@nettlespur/api.schemas'
import type { Evacuation } from '@nettlespur/core.evacuations'
import { applyContract } from './applyContract.js'
import { cancelJob } from './cancelJob.js'
import { changeClaim } from './changeClaim.js'
import { changeEvacuation } from './changeEvacuation.js'
import type { Command } from './command.js'
import type { CommandResult } from './commandResult.js'
import { endJob } from './endJob.js'
import { finishJob } from './finishJob.js'
import type { JobRecord } from './jobRecord.js'
import { markStarted } from './markStarted.js'
import { cancelPreemption } from './cancelPreemption.js'
import { placeJob } from './placeJob.js'
import { preemptJob } from './preemptJob.js'
import { refuseJob } from './refuseJob.js'
import { requeueJob } from './requeueJob.js'
import { createStateData, type StateData } from './stateData.js'
import { readSnapshot, takeSnapshot, type StateSnapshot } from './stateSnapshot.js'
import { submitJob } from './submitJob.js'
import { takeClaim } from './takeClaim.js'
import type { UpstreamHealth } from './upstreamHealthRecord.js'

export class ControlState {
  readonly #data: StateData

  private constructor(data: StateData) {
    this.#data = data
  }

  static create(): ControlState {
    return new ControlState(createStateData())
  }

  static restore(snapshot: StateSnapshot): ControlState {
    return new ControlState(readSnapshot(snapshot))
  }

  snapshot(): StateSnapshot {
    return takeSnapshot(this.#data)
  }

  /** Applies one committed command. `index` is its log index and must be higher than any applied before. */
  apply(index: number, command: Command): CommandResult {
    if (index <= this.#data.appliedIndex) {
      throw new Error(
        `log index ${index} is not above the applied index ${this.#data.appliedIndex}`,
      )
    }
    this.#data.appliedIndex = index
    this.#data.timeMs = Math.max(this.#data.timeMs, Date.parse(command.at))
    return dispatch(this.#data, index, command)
  }

  get appliedIndex(): number {
    return this.#data.appliedIndex
  }

  /** Log index of the newest accepted contract change; 0 if there is none. */
  get contractIndex(): number {
    return this.#data.contractIndex
  }

  listContracts(): ContractRecord[] {
    return [...this.#data.contracts.values()].map((contract) => contract.record)
  }

  getContract(workspace: string): ContractRecord | undefined {
    return this.#data.contracts.get(workspace)?.record
  }

  /** Returns true if a contract change was accepted under this id and the id is still kept. */
  hasChange(changeId: string): boolean {
    return this.#data.changes.has(changeId)
  }

  /** Jobs that have not ended, in order of submission. */
  listLiveJobs(): JobRecord[] {
    return [...this.#data.jobs.values()]
  }

  /** Ended jobs of all workspaces that are still kept. */
  listEndedJobs(): JobRecord[] {
    return [...this.#data.histories.values()].flatMap((history) => [...history.endedJobs.values()])
  }

  getLiveJob(jobId: string): JobRecord | undefined {
    return this.#data.jobs.get(jobId)
  }

  /** Returns a live or ended job of this workspace; undefined if the job belongs to another workspace. */
  getJob(workspace: string, jobId: string): JobRecord | undefined {
    const live = this.#data.jobs.get(jobId)
    if (live !== undefined) return live.request.workspace === workspace ? live : undefined
    return this.#data.histories.get(workspace)?.endedJobs.get(jobId)
  }

  /** Returns true if a job was submitted under this key and the key is still kept. */
  hasJobKey(workspace: string, jobKey: string): boolean {
    const history = this.#data.histories.get(workspace)
    return history?.jobKeys.has(jobKey) === true || history?.endedJobKeys.has(jobKey) === true
  }

  /** Returns the failure marks and quarantine of an upstream; undefined if it has neither. */
  getUpstreamHealth(upstreamId: string): UpstreamHealth | undefined {
    return this.#data.upstreamHealth.get(upstreamId)
  }

  /** Whether nothing may start on the upstreams of the data centre. */
  isEvacuated(dataCentre: string): boolean {
    return this.#data.evacuations.isInForce(dataCentre)
  }

  /** Lists the evacuation of each of these data centres, and then of all others that an order was ever given for. */
  listEvacuations(dataCentres: Iterable<string>): Evacuation[] {
    return this.#data.evacuations.listWith(dataCentres)
  }

  getClaim({ workspace, key }: ClaimKey): Claim | undefined {
    return this.#data.claims.get(workspace)?.get(key)
  }

  /** Claims without an outcome, or whose outcome is `unknown`. */
  listUnresolvedClaims(): Claim[] {
    return [...this.#data.claims.values()].flatMap((claims) => claims.listUnresolved())
  }

  getAnswer(workspace: string, jobId: string): JobAnswer | undefined {
    return this.#data.histories.get(workspace)?.answers.get(jobId)
  }
}

function dispatch(data: StateData, index: number, command: Command): CommandResult {
  switch (command.type) {
    case 'contract.apply':
      return applyContract(data, index, command)
    case 'job.submit':
      return submitJob(data, index, command)
    case 'job.place':
      return placeJob(data, index, command)
    case 'job.started':
      return markStarted(data, index, command)
    case 'job.finish':
      return finishJob(data, index, command)
    case 'job.preempt':
      return preemptJob(data, index, command)
    case 'job.keep':
      return cancelPreemption(data, index, command)
    case 'job.refuse':
      return refuseJob(data, index, command)
    case 'job.requeue':
      return requeueJob(data, index, command)
    case 'job.cancel':
      return cancelJob(data, index, command)
    case 'job.ended':
      return endJob(data, index, command)
    case 'claim.change':
      return changeClaim(data, index, command)
    case 'claim.take':
      return takeClaim(data, index, command)
    case 'evacuation.change':
      return changeEvacuation(data, command)
  }
}
