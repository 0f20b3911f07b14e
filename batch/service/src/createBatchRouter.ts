/** The tRPC router through which other processes call a control member. */
import { announcementSchema, clusterConfigSchema } from '@nettlespur/batch.model'
import { evacuationChangeSchema } from '@nettlespur/core.evacuations'
import { memberSchema } from '@nettlespur/consensus.raft'
import { toRpcResult } from '@nettlespur/core.errors'
import { initTRPC } from '@trpc/server'
import {
  jobCallSchema,
  queueCallSchema,
  submitCallSchema,
  upstreamIdSchema,
  type BatchApi,
  type LeaderView,
} from './batchApi.js'

/** Calls that every member answers, leader or not. */
export interface LeaderLocator {
  locateLeader(): LeaderView
}

export function createBatchRouter(api: BatchApi, locator: LeaderLocator) {
  const { router, procedure } = initTRPC.create()
  return router({
    batch: router({
      submitJob: procedure
        .input(submitCallSchema)
        .mutation(({ input }) => toRpcResult(api.submitJob(input))),
      cancelJob: procedure
        .input(jobCallSchema)
        .mutation(({ input }) => toRpcResult(api.cancelJob(input))),
      getJobState: procedure
        .input(jobCallSchema)
        .mutation(({ input }) => toRpcResult(api.getJobState(input))),
      countPending: procedure
        .input(queueCallSchema)
        .mutation(({ input }) => toRpcResult(api.countPending(input))),
      applyConfig: procedure
        .input(clusterConfigSchema)
        .mutation(({ input }) => toRpcResult(api.applyConfig(input))),
      readConfig: procedure.mutation(() => toRpcResult(api.readConfig())),
      listEvacuations: procedure.mutation(() => toRpcResult(api.listEvacuations())),
      changeEvacuation: procedure
        .input(evacuationChangeSchema)
        .mutation(({ input }) => toRpcResult(api.changeEvacuation(input))),
      announce: procedure
        .input(announcementSchema)
        .mutation(({ input }) => toRpcResult(api.announce(input))),
      leave: procedure
        .input(upstreamIdSchema)
        .mutation(({ input }) => toRpcResult(api.leave(input.upstreamId))),
      join: procedure.input(memberSchema).mutation(({ input }) => toRpcResult(api.join(input))),
      locateLeader: procedure.mutation(() => locator.locateLeader()),
    }),
  })
}

export type BatchRouter = ReturnType<typeof createBatchRouter>
