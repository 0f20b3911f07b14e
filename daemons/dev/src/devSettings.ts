/** The settings of the embedded default, with ports from the system wherever no caller needs to know them. */
import {
  controlSettingsSchema,
  entrySettingsSchema,
  type ControlSettings,
  type EntrySettings,
} from '@nettlespur/settings.schemas'

const anyLoopbackPort = '127.0.0.1:0'

export interface DevSettingsOptions {
  port: number
  dataFolder: string
}

export interface DevSettings {
  readonly control: ControlSettings
  createEntry(controlAddress: string): EntrySettings
}

export function createDevSettings(opts: DevSettingsOptions): DevSettings {
  const instance = { dataCentre: 'dc1', keyFiles: { peers: 'held-in-memory' } }
  return {
    control: controlSettingsSchema.parse({
      ...instance,
      instanceId: 'c1',
      peerAddress: anyLoopbackPort,
      dataFolder: opts.dataFolder,
      members: [{ memberId: 'c1', peerAddress: anyLoopbackPort, dataCentre: 'dc1' }],
    }),
    createEntry: (controlAddress) =>
      entrySettingsSchema.parse({
        ...instance,
        instanceId: 'e1',
        listenAddress: `127.0.0.1:${opts.port}`,
        peerAddress: anyLoopbackPort,
        control: [controlAddress],
        keysRequired: false,
      }),
  }
}
