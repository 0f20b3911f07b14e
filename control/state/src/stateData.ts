/** What the handlers of commands work on. Maps keep the order of insertion, which is the order of the log. */
import type { ContractRecord, JobAnswer } from '@nettlespur/api.schemas'
import { ClaimTable } from './claimTable.js'
import type { JobRecord } from './jobRecord.js'
import type { UpstreamHealth } from './upstreamHealth.js'

/** An accepted change of an operator; with the resent body it gives the first answer again. */
export interface ChangeRecord {
  readonly digest: string
  readonly revision: number
  readonly changeIndex: number
}

export interface ContractState {
  readonly record: ContractRecord
  /** The change that made this revision. */
  readonly changeId: string
}

export interface JobKeyRecord {
  readonly jobId: string
  readonly digest: string
}

/** A key whose job has ended, kept until it is too old. */
export interface EndedJobKeyRecord extends JobKeyRecord {
  readonly endedAt: string
}

/** What one workspace leaves behind. */
export interface WorkspaceHistory {
  readonly jobKeys: Map<string, JobKeyRecord>
  readonly endedJobKeys: Map<string, EndedJobKeyRecord>
  readonly endedJobs: Map<string, JobRecord>
  readonly answers: Map<string, JobAnswer>
}

export interface StateData {
  appliedIndex: number
  /** Newest proposer time seen, in milliseconds of wall time: never goes back. */
  timeMs: number
  /** Index of the newest accepted contract change. */
  contractIndex: number
  readonly contracts: Map<string, ContractState>
  readonly changes: Map<string, ChangeRecord>
  /** Jobs that have not ended, in order of submission. */
  readonly jobs: Map<string, JobRecord>
  readonly histories: Map<string, WorkspaceHistory>
  /** Upstreams with something held against them. */
  readonly upstreamHealth: Map<string, UpstreamHealth>
  /** By workspace. */
  readonly claims: Map<string, ClaimTable>
}

export function createStateData(): StateData {
  return {
    appliedIndex: 0,
    timeMs: 0,
    contractIndex: 0,
    contracts: new Map(),
    changes: new Map(),
    jobs: new Map(),
    histories: new Map(),
    upstreamHealth: new Map(),
    claims: new Map(),
  }
}

/** The history of one workspace, made on first use. */
export function getOrCreateHistory(data: StateData, workspace: string): WorkspaceHistory {
  const known = data.histories.get(workspace)
  if (known !== undefined) return known
  const made = {
    jobKeys: new Map(),
    endedJobKeys: new Map(),
    endedJobs: new Map(),
    answers: new Map(),
  }
  data.histories.set(workspace, made)
  return made
}

/** The claims of one workspace, made on first use. */
export function getOrCreateClaims(data: StateData, workspace: string): ClaimTable {
  const known = data.claims.get(workspace)
  if (known !== undefined) return known
  const made = new ClaimTable()
  data.claims.set(workspace, made)
  return made
}
