/**
 * A stand-in upstream on loopback: it serves the task protocol with simulated work, announces itself to
 * entries, and shows faults on command.
 */
import { setMaxListeners } from 'node:events'
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import { hashKey } from '@nettlespur/net.keys'
import { createHttpServer, type HttpServer, type Route } from '@nettlespur/net.server'
import { Announcer } from './announcer.js'
import type { Capacity } from './capacity.js'
import { createCommandRoutes } from './commandRoutes.js'
import { Faults } from './faults.js'
import { requireKey } from './requireKey.js'
import { createTaskRoutes } from './taskRoutes.js'
import { TaskTable, type TaskRun, type TaskTableOptions } from './taskTable.js'

const bodyBytesMax = 16_777_216

export interface StandInUpstreamOptions extends TaskTableOptions, Capacity {
  clock: Clock
  logger: Logger
  upstreamId: string
  dataCentre: string
  rack: string
  /** `IP:PORT`; port 0 takes a free one. */
  listenAddress: string
  /** Caller sides of the entries it announces itself to; empty, it announces itself to none. */
  entries: readonly string[]
  /** Sent with announcements, and asked of every caller where given. */
  key?: string | undefined
  /** Spreads announcements, from 0 to below 1. */
  random?: () => number
}

export interface StandInUpstream {
  /** `IP:PORT` as bound. */
  readonly address: string
  readonly faults: Faults
  listRuns(): TaskRun[]
  /** Connections opened to it so far. */
  countOpenedConnections(): number
  /** Announces that it is leaving, and goes on serving. */
  leave(): Promise<void>
  /** A planned stop: leaves, lets short requests in progress end, then closes. */
  stop(): Promise<void>
}

/** Errors: rejects where the address cannot be bound. */
export async function startStandInUpstream(opts: StandInUpstreamOptions): Promise<StandInUpstream> {
  const stopping = new AbortController()
  setMaxListeners(0, stopping.signal)
  const tasks = new TaskTable(opts)
  const faults = new Faults()
  const context = { clock: opts.clock, faults, stopSignal: stopping.signal }
  const routes = [
    ...createTaskRoutes(context, { tasks, faults, capacity: opts }),
    ...createCommandRoutes({ tasks, faults, leave: () => void leave() }),
  ]
  const server = await listen(opts, routes)
  let opened = 0
  server.raw.on('connection', () => {
    opened += 1
  })
  const announcer = createAnnouncer(opts, server, tasks, faults)
  const announcing = opts.entries.length === 0 ? undefined : announcer.run(stopping.signal)
  const leave = async (): Promise<void> => {
    if (announcing !== undefined) await announcer.leave()
  }
  return {
    address: server.address,
    faults,
    listRuns: () => tasks.listRuns(),
    countOpenedConnections: () => opened,
    leave,
    stop: async () => {
      await leave()
      stopping.abort()
      await announcing
      await server.drain()
      tasks.endAll()
    },
  }
}

function listen(opts: StandInUpstreamOptions, routes: readonly Route[]): Promise<HttpServer> {
  const { key, logger } = opts
  const hashes = key === undefined ? undefined : [hashKey(key)]
  return createHttpServer({
    address: opts.listenAddress,
    routes: hashes === undefined ? routes : routes.map((route) => requireKey(route, hashes)),
    bodyBytesMax,
    onInternalError: (error) => {
      logger.error({ event: 'upstream.call-failed', message: error.message })
    },
  })
}

function createAnnouncer(
  opts: StandInUpstreamOptions,
  server: HttpServer,
  tasks: TaskTable,
  faults: Faults,
): Announcer {
  const { clock, logger, upstreamId, dataCentre, rack, entries, key, random } = opts
  const { slots, cpuCores, memoryBytes, accelerators } = opts
  const { address } = server
  return new Announcer({
    clock,
    logger,
    upstreamId,
    fixed: {
      address,
      dataCentre,
      rack,
      slots,
      cpuCores,
      memoryBytes,
      accelerators,
      session: tasks.session,
    },
    listTasks: () => tasks.listReports(),
    entries,
    key,
    random,
    isSilent: () => faults.settings.silentAnnouncements,
  })
}
