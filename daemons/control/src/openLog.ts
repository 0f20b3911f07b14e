/** Opens the log of this instance: its files, its connections to the other members, and agreement over both. */
import { RaftLog, RpcTransport } from '@nettlespur/control.log'
import type { StateHolder } from '@nettlespur/control.state'
import type { Clock } from '@nettlespur/core.clock'
import type { LifecycleManager } from '@nettlespur/core.lifecycle'
import type { Logger } from '@nettlespur/core.logger'
import { readPeerCa } from '@nettlespur/daemons.common'
import type { ControlSettings } from '@nettlespur/settings.schemas'
import { FileLogStore } from '@nettlespur/storage.log'

/** A call that got no answer must leave the time for another one before an election. */
const callTimeoutShare = 0.5

export interface OpenLogOptions {
  clock: Clock
  logger: Logger
  lifecycle: LifecycleManager
  holder: StateHolder
  /** Shown to the other members. */
  peerKey: string
}

/** `lifecycle` owns what it opens. Errors: rejects with `storage-damaged` and `storage-failed`. */
export async function openLog(settings: ControlSettings, opts: OpenLogOptions): Promise<RaftLog> {
  const { clock, logger, lifecycle, holder, peerKey } = opts
  const { instanceId, dataFolder, members, timings } = settings
  const timeoutMs = timings.electionTimeoutMs * callTimeoutShare
  const ca = readPeerCa(settings)
  const transport = new RpcTransport({ clock, peerKey, timeoutMs, ca })
  lifecycle.own('connections to members', () => {
    transport.close()
  })
  const store = await FileLogStore.open({ folder: dataFolder, clock, logger })
  const log = await RaftLog.open({
    memberId: instanceId,
    initialMembers: members,
    clock,
    logger,
    store,
    transport,
    holder,
    timings,
  })
  lifecycle.own('log', () => log.stop())
  return log
}
