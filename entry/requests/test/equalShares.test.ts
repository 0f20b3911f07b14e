import test from 'ava'
import { ManualClock } from '@nettlespur/core.clock'
import { createContract, RecordingLogger } from '@nettlespur/entry.fakes'
import { ClusterView } from '@nettlespur/entry.view'
import fc from 'fast-check'
import { EqualShareQuotas } from '../src/index.js'

test('the shares of all entries add up to exactly the limits of the contract', (t) => {
  const counts = fc.tuple(
    fc.integer({ min: 1, max: 12 }),
    fc.nat({ max: 100 }),
    fc.nat({ max: 100 }),
  )
  fc.assert(
    fc.property(counts, ([entryCount, concurrentRequests, queuedRequests]) => {
      const ids = Array.from({ length: entryCount }, (_, index) => `entry-${index}`)
      const clock = new ManualClock()
      const view = new ClusterView({ clock, logger: new RecordingLogger() })
      const contract = createContract()
      Object.assign(contract.limits, { concurrentRequests, queuedRequests })
      const entries = ids.map((entryId) => ({
        entryId,
        address: '127.0.0.1:1',
        peerAddress: '127.0.0.1:2',
        dataCentre: 'dc1',
      }))
      const record = { contract, revision: 1, changeIndex: 1 }
      const positions = { epoch: 'first', contractIndex: 1, upstreamVersion: 1 }
      const rest = { contracts: [record], upstreams: [], entries, contractLeaseMs: 1 }
      view.apply({ ...positions, ...rest }, 0)
      const shares = ids.map((entryId) => new EqualShareQuotas({ view, entryId }).quotaOf('thapa'))
      const sum = (pick: (share: (typeof shares)[number]) => number | undefined) =>
        shares.reduce((total, share) => total + (pick(share) ?? 0), 0)
      t.is(
        sum((share) => share?.concurrentRequests),
        concurrentRequests,
      )
      t.is(
        sum((share) => share?.queuedRequests),
        queuedRequests,
      )
      t.true(Math.abs(sum((share) => share?.requestsPerSecond) - 1000) < 1e-6)
    }),
  )
})
