/** Many stand-in upstreams in one process; told what to start by its arguments, ends with its parent. */
import { SystemClock } from '@nettlespur/core.clock'
import { createLogger } from '@nettlespur/core.logger'
import { startStandInUpstream } from '@nettlespur/upstream.standIn'
import { fleetOptionsSchema } from './fleetOptions.js'

const opts = fleetOptionsSchema.parse(JSON.parse(process.argv[2] ?? '{}'))
const clock = new SystemClock()
const logger = createLogger({ name: 'fleet', instanceId: opts.prefix, level: 'error' })
const upstreamsPerRack = 8

process.on('disconnect', () => {
  process.exit(0)
})
for (let index = 0; index < opts.count; index++) {
  const first = index % opts.entries.length
  await startStandInUpstream({
    clock,
    logger,
    upstreamId: `${opts.prefix}-${index + 1}`,
    dataCentre: 'dc1',
    rack: `${opts.prefix}-r${Math.floor(index / upstreamsPerRack) + 1}`,
    listenAddress: '127.0.0.1:0',
    // Each entry is the first choice of an equal share.
    entries: [...opts.entries.slice(first), ...opts.entries.slice(0, first)],
    key: opts.key,
    slots: 8,
    cpuCores: 32,
    memoryBytes: 137_438_953_472,
    accelerators: 8,
  })
}
process.send?.('started')
