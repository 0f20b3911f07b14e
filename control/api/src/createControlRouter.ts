/** The tRPC router of a ControlApi: one procedure for each method, with its input validated by a schema. */
import {
  claimChangeSchema,
  claimQuerySchema,
  contractChangeSchema,
  identifierSchema,
  jobRequestSchema,
} from '@nettlespur/api.schemas'
import { toRpcResult } from '@nettlespur/core.errors'
import { evacuationChangeSchema } from '@nettlespur/core.evacuations'
import { initTRPC } from '@trpc/server'
import { z } from 'zod'
import { announcementsSchema, watchRequestSchema } from './clusterView.js'
import type { ControlApi } from './controlApi.js'
import { newMemberSchema } from './statusView.js'

const jobReferenceSchema = z.object({ workspace: identifierSchema, jobId: z.string() })
const answerRequestSchema = jobReferenceSchema.extend({ waitMs: z.int().nonnegative() })
const claimChangesMax = 256
const claimChangesSchema = z.array(claimChangeSchema).max(claimChangesMax)
const listContractsSchema = z.object({ workspace: identifierSchema.optional() })

export function createControlRouter(api: ControlApi) {
  const { router, procedure } = initTRPC.create()
  return router({
    applyContract: procedure
      .input(contractChangeSchema)
      .mutation(({ input }) => toRpcResult(api.applyContract(input))),
    listContracts: procedure
      .input(listContractsSchema)
      .mutation(({ input }) => toRpcResult(api.listContracts(input.workspace))),
    listEvacuations: procedure.mutation(() => toRpcResult(api.listEvacuations())),
    changeEvacuation: procedure
      .input(evacuationChangeSchema)
      .mutation(({ input }) => toRpcResult(api.changeEvacuation(input))),
    submitJob: procedure
      .input(jobRequestSchema)
      .mutation(({ input }) => toRpcResult(api.submitJob(input))),
    getJob: procedure
      .input(jobReferenceSchema)
      .mutation(({ input }) => toRpcResult(api.getJob(input))),
    awaitAnswer: procedure
      .input(answerRequestSchema)
      .mutation(({ input }) => toRpcResult(api.awaitAnswer(input))),
    explainJob: procedure
      .input(jobReferenceSchema)
      .mutation(({ input }) => toRpcResult(api.explainJob(input))),
    cancelJob: procedure
      .input(jobReferenceSchema)
      .mutation(({ input }) => toRpcResult(api.cancelJob(input))),
    changeClaims: procedure
      .input(claimChangesSchema)
      .mutation(({ input }) => toRpcResult(api.changeClaims(input))),
    awaitClaim: procedure
      .input(claimQuerySchema)
      .mutation(({ input }) => toRpcResult(api.awaitClaim(input))),
    announce: procedure
      .input(announcementsSchema)
      .mutation(({ input }) => toRpcResult(api.announce(input))),
    watch: procedure
      .input(watchRequestSchema)
      .mutation(({ input }) => toRpcResult(api.watch(input))),
    getStatus: procedure.mutation(() => toRpcResult(api.getStatus())),
    getReport: procedure.mutation(() => toRpcResult(api.getReport())),
    listMembers: procedure.mutation(() => toRpcResult(api.listMembers())),
    addMember: procedure
      .input(newMemberSchema)
      .mutation(({ input }) => toRpcResult(api.addMember(input))),
    removeMember: procedure
      .input(identifierSchema)
      .mutation(({ input }) => toRpcResult(api.removeMember(input))),
  })
}

export type ControlRouter = ReturnType<typeof createControlRouter>
