/** The tRPC router on which this member receives Raft messages from the other members. */
import {
  timeoutNowRequestSchema,
  voteRequestSchema,
  type AppendAnswer,
  type AppendRequest,
  type InstallAnswer,
  type InstallRequest,
  type TimeoutNowRequest,
  type VoteAnswer,
  type VoteRequest,
} from '@nettlespur/consensus.raft'
import { toRpcResult, tryAsync } from '@nettlespur/core.errors'
import { initTRPC } from '@trpc/server'
import { wireAppendSchema, wireInstallSchema } from './raftWire.js'

/** Handles the Raft messages of the other members. */
export interface RaftReceiver {
  handleVote(request: VoteRequest): Promise<VoteAnswer>
  handleAppend(request: AppendRequest): Promise<AppendAnswer>
  handleInstall(request: InstallRequest): Promise<InstallAnswer>
  handleTimeoutNow(request: TimeoutNowRequest): Promise<void>
}

export function createRaftRouter(receiver: RaftReceiver) {
  const { router, procedure } = initTRPC.create()
  return router({
    raft: router({
      vote: procedure
        .input(voteRequestSchema)
        .mutation(({ input }) => toRpcResult(tryAsync(() => receiver.handleVote(input)))),
      append: procedure
        .input(wireAppendSchema)
        .mutation(({ input }) => toRpcResult(tryAsync(() => receiver.handleAppend(input)))),
      install: procedure
        .input(wireInstallSchema)
        .mutation(({ input }) => toRpcResult(tryAsync(() => receiver.handleInstall(input)))),
      timeoutNow: procedure.input(timeoutNowRequestSchema).mutation(({ input }) =>
        toRpcResult(
          tryAsync(async () => {
            await receiver.handleTimeoutNow(input)
            return null
          }),
        ),
      ),
    }),
  })
}

export type RaftRouter = ReturnType<typeof createRaftRouter>
