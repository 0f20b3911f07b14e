/**
 * Two clients of control: one for calls, and one for watching whose deadline is short enough to find a
 * silent connection before the contract lease ends.
 */
import { RemoteControlApi, type ControlApi } from '@nettlespur/control.api'
import type { Clock } from '@nettlespur/core.clock'
import type { LifecycleManager } from '@nettlespur/core.lifecycle'
import type { EntrySettings } from '@nettlespur/settings.schemas'
import { readPeerCa } from '@nettlespur/daemons.common'
import type { EntryKeys } from './entryFiles.js'

/** Allowed to a look at control beyond the time it waits there. */
const watchAnswerMs = 750

export interface ControlConnections {
  readonly calls: ControlApi
  readonly watch: ControlApi
}

export interface OpenControlOptions {
  clock: Clock
  keys: EntryKeys
  lifecycle: LifecycleManager
}

export function openControl(settings: EntrySettings, opts: OpenControlOptions): ControlConnections {
  const { timings } = settings
  const common = {
    clock: opts.clock,
    addresses: settings.control,
    peerKey: opts.keys.peers[0] ?? '',
    ca: readPeerCa(settings),
  }
  const calls = new RemoteControlApi({ ...common, timeoutMs: timings.controlCallMs })
  const watchMs = timings.watchWaitMs + watchAnswerMs
  const watch = new RemoteControlApi({ ...common, timeoutMs: watchMs })
  opts.lifecycle.own('connections to control', () => {
    calls.close()
    watch.close()
  })
  return { calls, watch }
}
