/** One side of the comparison as a process of its own; told what to do by its parent. */
import { SystemClock } from '@nettlespur/core.clock'
import { readUsage } from '../readUsage.js'
import { announceForever, sendHeartbeats, watchForever } from './callLikeEntry.js'
import { openCaller } from './openCaller.js'
import { openServer } from './openServer.js'
import type { PeerAnswer, PeerOrder } from './peerOrder.js'
import { createEntries, createPeerRouter } from './peerRouter.js'

const clock = new SystemClock()
const entries = createEntries(9)
let countBytes = (): number => 0
let caller: ReturnType<typeof openCaller> | undefined

process.on('message', (order: PeerOrder) => {
  void obey(order).then((answer) => process.send?.(answer))
})
process.on('disconnect', () => {
  process.exit(0)
})

async function obey(order: PeerOrder): Promise<PeerAnswer> {
  switch (order.type) {
    case 'serve': {
      const router = createPeerRouter(clock, entries)
      const server = await openServer(order.kind, router, order.peerKey)
      countBytes = () => server.countBytes()
      return { address: server.address }
    }
    case 'call': {
      caller = openCaller({ clock, ...order })
      const [entry] = entries
      if (entry !== undefined) void watchForever({ clock, call: caller }, entry)
      void announceForever({ clock, call: caller }, order.upstreams)
      return {}
    }
    case 'load':
      if (caller !== undefined) await sendHeartbeats({ clock, call: caller }, order)
      return {}
    case 'sample':
      return { usage: readUsage(process.pid), bytes: countBytes() }
  }
}
