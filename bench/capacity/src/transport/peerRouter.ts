/** A router with the calls an entry makes at rest, and one as small as a heartbeat. */
import {
  announcementsSchema,
  watchRequestSchema,
  type ClusterUpdate,
  type EntryIdentity,
} from '@nettlespur/control.api'
import type { Clock } from '@nettlespur/core.clock'
import { initTRPC } from '@trpc/server'
import { z } from 'zod'

const contractLeaseMs = 4000

const heartbeatSchema = z.object({ term: z.int(), leaderId: z.string(), commitIndex: z.int() })

/** Answers as control does where nothing has changed. */
export function createPeerRouter(clock: Clock, entries: readonly EntryIdentity[]) {
  const { router, procedure } = initTRPC.create()
  return router({
    watch: procedure.input(watchRequestSchema).mutation(async ({ input }) => {
      await clock.sleep(input.waitMs)
      const value: ClusterUpdate = {
        epoch: input.epoch,
        contractIndex: input.contractIndex,
        contracts: [],
        upstreamVersion: input.upstreamVersion,
        upstreams: [],
        entries: [...entries],
        contractLeaseMs,
      }
      return { ok: true, value }
    }),
    announce: procedure.input(announcementsSchema).mutation(() => ({ ok: true, value: null })),
    heartbeat: procedure
      .input(heartbeatSchema)
      .mutation(({ input }) => ({ ok: true, term: input.term, matchIndex: input.commitIndex })),
  })
}
export type PeerRouter = ReturnType<typeof createPeerRouter>

/** Entry identities of the length that real ones have. */
export function createEntries(count: number): EntryIdentity[] {
  return Array.from({ length: count }, (_, index) => ({
    entryId: `entry-${index + 1}`,
    address: `10.1.2.${index + 1}:7400`,
    peerAddress: `10.1.2.${index + 1}:7500`,
    dataCentre: 'dc-1',
  }))
}
