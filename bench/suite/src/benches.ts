/** The benches of the repository, in the order in which they run. One line adds one. */
import type { Bench } from './bench.js'

export const benches: readonly Bench[] = [
  {
    name: 'transport',
    load: async () => (await import('@nettlespur/bench.capacity')).measureTransport,
  },
]
