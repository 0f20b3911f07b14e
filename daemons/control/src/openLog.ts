/** Opens the log of this instance. */
import { SingleNodeLog, type ReplicatedLog } from '@nettlespur/control.log'
import type { StateHolder } from '@nettlespur/control.state'
import { NettlespurError } from '@nettlespur/core.errors'
import type { ControlSettings } from '@nettlespur/settings.schemas'

/** Errors: rejects with `invalid-settings` for more than one voter, and with `storage-damaged`. */
export async function openLog(
  settings: ControlSettings,
  holder: StateHolder,
): Promise<ReplicatedLog> {
  const { instanceId, peerAddress, dataCentre, dataFolder, members } = settings
  if (members.length > 1) {
    throw new NettlespurError('invalid-settings', 'members: only one voter is supported so far')
  }
  return SingleNodeLog.open({ memberId: instanceId, peerAddress, dataCentre, dataFolder, holder })
}
