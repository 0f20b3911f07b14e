/** The tRPC router through which other processes call a control member. */
import { announcementSchema, clusterConfigSchema } from '@nettlespur/batch.model'
import { evacuationChangeSchema } from '@nettlespur/core.evacuations'
import { memberSchema } from '@nettlespur/consensus.raft'
import {
  answerRequestSchema,
  orderBatchSchema,
  type AnswerRequest,
  type OrderBatch,
  type RelayAnswers,
  type RelayReceipt,
} from '@nettlespur/batch.relays'
import { NettlespurError, toRpcResult, tryAsync } from '@nettlespur/core.errors'
import { initTRPC } from '@trpc/server'
import { z } from 'zod'
import {
  announcementsMax,
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

/** Executes the calls of a leader that uses relays. */
export interface RelayReceiver {
  handleOrders(batch: OrderBatch): RelayReceipt
  takeAnswers(request: AnswerRequest): Promise<RelayAnswers>
}

/** Without `relay`, the member carries no calls of a leader. */
export function createBatchRouter(api: BatchApi, locator: LeaderLocator, relay?: RelayReceiver) {
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
      announceMany: procedure
        .input(z.array(announcementSchema).max(announcementsMax))
        .mutation(({ input }) => toRpcResult(api.announceMany(input))),
      leave: procedure
        .input(upstreamIdSchema)
        .mutation(({ input }) => toRpcResult(api.leave(input.upstreamId))),
      join: procedure.input(memberSchema).mutation(({ input }) => toRpcResult(api.join(input))),
      relayOrders: procedure
        .input(orderBatchSchema)
        .mutation(({ input }) =>
          toRpcResult(tryAsync(() => Promise.resolve(requireRelay(relay).handleOrders(input)))),
        ),
      relayAnswers: procedure
        .input(answerRequestSchema)
        .mutation(({ input }) =>
          toRpcResult(tryAsync(() => requireRelay(relay).takeAnswers(input))),
        ),
      locateLeader: procedure.mutation(() => locator.locateLeader()),
    }),
  })
}

function requireRelay(relay: RelayReceiver | undefined): RelayReceiver {
  if (relay !== undefined) return relay
  throw new NettlespurError('unknown-route', 'this member carries no calls of a leader')
}

export type BatchRouter = ReturnType<typeof createBatchRouter>
