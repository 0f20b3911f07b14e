/** The benches of the repository, in the order in which they run. One line adds one. */
import { SystemClock } from '@nettlespur/core.clock'
import type { Bench } from './bench.js'

export const benches: readonly Bench[] = [
  {
    name: 'transport',
    load: async () => (await import('@nettlespur/bench.capacity')).measureTransport,
  },
  {
    name: 'capacity',
    load: async () => (await import('@nettlespur/bench.capacity')).measureCapacity,
  },
  {
    name: 'storage',
    load: async () => {
      const { measureStorage } = await import('@nettlespur/bench.storage')
      return () => measureStorage({ clock: new SystemClock() })
    },
  },
  {
    name: 'consensus',
    load: async () => (await import('@nettlespur/bench.consensus')).measureConsensus,
  },
  {
    name: 'placement',
    load: async () => (await import('@nettlespur/bench.placement')).measurePlacement,
  },
  {
    name: 'policy',
    load: async () => (await import('@nettlespur/bench.policy')).measurePolicy,
  },
  {
    name: 'requests',
    load: async () => (await import('@nettlespur/bench.load')).measureRequests,
  },
]
