/** The mutable data that command handlers read and change. Maps keep insertion order, which is log order. */
import type { ContractRecord, JobAnswer } from '@nettlespur/api.schemas'
import { EvacuationTable } from '@nettlespur/core.evacuations'
import { ClaimTable } from './claimTable.js'
import type { JobRecord } from './jobRecord.js'
import type { UpstreamHealth } from './upstreamHealthRecord.js'

/** An accepted contract change. If the change is resent, its first result is rebuilt from this record. */
export interface ChangeRecord {
  readonly digest: string
  readonly revision: number
  readonly changeIndex: number
}

export interface ContractState {
  readonly record: ContractRecord
  /** The change that created this revision. */
  readonly changeId: string
}

export interface JobKeyRecord {
  readonly jobId: string
  readonly digest: string
}

/** The key of an ended job, kept until it expires. */
export interface EndedJobKeyRecord extends JobKeyRecord {
  readonly endedAt: string
}

/** The job keys of one workspace, and its ended jobs and answers that are still kept. */
export interface WorkspaceHistory {
  readonly jobKeys: Map<string, JobKeyRecord>
  readonly endedJobKeys: Map<string, EndedJobKeyRecord>
  readonly endedJobs: Map<string, JobRecord>
  readonly answers: Map<string, JobAnswer>
}

export interface StateData {
  appliedIndex: number
  /** Latest proposer time seen, in milliseconds since the epoch; never decreases. */
  timeMs: number
  /** Log index of the newest accepted contract change; 0 if there is none. */
  contractIndex: number
  readonly contracts: Map<string, ContractState>
  readonly changes: Map<string, ChangeRecord>
  /** Jobs that have not ended, in order of submission. */
  readonly jobs: Map<string, JobRecord>
  readonly histories: Map<string, WorkspaceHistory>
  /** Upstreams with failure marks or in quarantine, by upstream id. */
  readonly upstreamHealth: Map<string, UpstreamHealth>
  /** Claims by workspace. */
  readonly claims: Map<string, ClaimTable>
  readonly evacuations: EvacuationTable
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
    evacuations: new EvacuationTable([]),
  }
}

/** Returns the history of a workspace, creating it on first use. */
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

/** Returns the claims of a workspace, creating the table on first use. */
export function getOrCreateClaims(data: StateData, workspace: string): ClaimTable {
  const known = data.claims.get(workspace)
  if (known !== undefined) return known
  const made = new ClaimTable()
  data.claims.set(workspace, made)
  return made
}
