/** Converts the whole state to and from a serialisable snapshot. Lists keep the order of their maps. */
import {
  claimSchema,
  contractRecordSchema,
  countSchema,
  jobAnswerSchema,
  type Claim,
} from '@nettlespur/api.schemas'
import { evacuationSchema, EvacuationTable } from '@nettlespur/core.evacuations'
import { z } from 'zod'
import { jobRecordSchema } from './jobRecord.js'
import {
  createStateData,
  getOrCreateClaims,
  type StateData,
  type WorkspaceHistory,
} from './stateData.js'
import { upstreamHealthSchema } from './upstreamHealthRecord.js'

const changeSchema = z.object({
  digest: z.string(),
  revision: z.int().positive(),
  changeIndex: z.int().positive(),
})
const contractStateSchema = z.object({ record: contractRecordSchema, changeId: z.string() })
const jobKeySchema = z.object({ jobId: z.string(), digest: z.string() })
const endedJobKeySchema = jobKeySchema.extend({ endedAt: z.iso.datetime() })

const historySchema = z.object({
  jobKeys: z.array(z.tuple([z.string(), jobKeySchema])),
  endedJobKeys: z.array(z.tuple([z.string(), endedJobKeySchema])),
  endedJobs: z.array(z.tuple([z.string(), jobRecordSchema])),
  answers: z.array(z.tuple([z.string(), jobAnswerSchema])),
})

export const stateSnapshotSchema = z.object({
  appliedIndex: countSchema,
  timeMs: countSchema,
  contractIndex: countSchema,
  contracts: z.array(z.tuple([z.string(), contractStateSchema])),
  changes: z.array(z.tuple([z.string(), changeSchema])),
  jobs: z.array(z.tuple([z.string(), jobRecordSchema])),
  histories: z.array(z.tuple([z.string(), historySchema])),
  upstreamHealth: z.array(z.tuple([z.string(), upstreamHealthSchema])).default([]),
  claims: z.array(claimSchema).default([]),
  evacuations: z.array(evacuationSchema).default([]),
})
export type StateSnapshot = z.infer<typeof stateSnapshotSchema>

export function takeSnapshot(data: StateData): StateSnapshot {
  return {
    appliedIndex: data.appliedIndex,
    timeMs: data.timeMs,
    contractIndex: data.contractIndex,
    contracts: [...data.contracts],
    changes: [...data.changes],
    jobs: [...data.jobs],
    histories: [...data.histories].map(([workspace, history]) => [workspace, toLists(history)]),
    upstreamHealth: [...data.upstreamHealth],
    claims: [...data.claims.values()].flatMap((claims) => claims.list()),
    evacuations: data.evacuations.list(),
  }
}

export function readSnapshot(snapshot: StateSnapshot): StateData {
  return {
    ...createStateData(),
    appliedIndex: snapshot.appliedIndex,
    timeMs: snapshot.timeMs,
    contractIndex: snapshot.contractIndex,
    contracts: new Map(snapshot.contracts),
    changes: new Map(snapshot.changes),
    jobs: new Map(snapshot.jobs),
    histories: new Map(snapshot.histories.map(([name, lists]) => [name, toMaps(lists)])),
    upstreamHealth: new Map(snapshot.upstreamHealth),
    claims: groupClaims(snapshot.claims),
    evacuations: new EvacuationTable(snapshot.evacuations),
  }
}

function groupClaims(claims: readonly Claim[]): StateData['claims'] {
  const data = createStateData()
  for (const claim of claims) getOrCreateClaims(data, claim.workspace).put(claim)
  return data.claims
}

function toLists(history: WorkspaceHistory): z.infer<typeof historySchema> {
  return {
    jobKeys: [...history.jobKeys],
    endedJobKeys: [...history.endedJobKeys],
    endedJobs: [...history.endedJobs],
    answers: [...history.answers],
  }
}

function toMaps(lists: z.infer<typeof historySchema>): WorkspaceHistory {
  return {
    jobKeys: new Map(lists.jobKeys),
    endedJobKeys: new Map(lists.endedJobKeys),
    endedJobs: new Map(lists.endedJobs),
    answers: new Map(lists.answers),
  }
}
