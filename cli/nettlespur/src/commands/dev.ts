/** `nettlespur dev`: everything in one process, until a signal stops it. */
import { SystemClock } from '@nettlespur/core.clock'
import { LifecycleManager, stopOnSignals } from '@nettlespur/core.lifecycle'
import { createCliCommand } from '../cliCommand.js'
import { printText } from '../output.js'
import { readCount } from '../readArgs.js'
import { createUsageError } from '../usageError.js'

const defaultUpstreams = 4
const defaultPort = 7400
const defaultDataFolder = '.nettlespur/dev'
const highestPort = 65_535
const drainDeadlineMs = 30_000

/** A contract, a gang and a short request, in the order a newcomer would try them. */
const triedFirst = [
  'nettlespur contract get demo',
  'nettlespur job submit --workspace demo --accelerators 4 --adjacency upstream --repeatable --payload hello --wait',
  'nettlespur request send --workspace demo --repeatable --body hello',
]

export const devCommand = createCliCommand({
  name: 'dev',
  description: 'Run control, one entry and stand-in upstreams in one process on loopback',
  args: {
    upstreams: {
      type: 'string',
      description: 'Stand-in upstreams of 8 accelerators',
      default: String(defaultUpstreams),
      valueHint: 'N',
    },
    port: {
      type: 'string',
      description: 'Port of the entry on 127.0.0.1; 0 takes a free one',
      default: String(defaultPort),
      valueHint: 'P',
    },
    data: {
      type: 'string',
      description: 'Folder of the replicated state',
      default: defaultDataFolder,
      valueHint: 'DIR',
    },
  },
  examples: ['nettlespur dev', 'nettlespur dev --upstreams 2 --port 7500'],
  run: async ({ args }) => {
    const port = readCount('--port', args.port)
    if (port > highestPort) throw createUsageError(`--port must be at most ${highestPort}`)
    const upstreams = readCount('--upstreams', args.upstreams)
    const lifecycle = new LifecycleManager({ clock: new SystemClock(), drainDeadlineMs })
    // Loaded only here: the other commands start in half the time without the daemons' modules.
    const { startDev } = await import('@nettlespur/daemons.dev')
    const running = await startDev({ upstreams, port, dataFolder: args.data })
    lifecycle.own('dev', () => running.stop())
    stopOnSignals(lifecycle)
    printText(formatGreeting(running.endpoint))
  },
})

function formatGreeting(endpoint: string): string {
  const isDefault = endpoint === `http://127.0.0.1:${defaultPort}`
  const flag = isDefault ? '' : ` --endpoint ${endpoint}`
  const commands = triedFirst.map((command) => `  npx ${command}${flag}`)
  return [`nettlespur listens on ${endpoint}. Try, in another terminal:`, ...commands].join('\n')
}
