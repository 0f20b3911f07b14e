/** Reads the YAML settings of a control instance. Paths count from the folder of the file. */
import { readFileSync } from 'node:fs'
import path from 'node:path'
import { parseValue } from '@nettlespur/api.schemas'
import { NettlespurError, unwrap, tryAsync } from '@nettlespur/core.errors'
import { controlSettingsSchema, type ControlSettings } from '@nettlespur/settings.schemas'
import { EitherAsync } from 'purify-ts'
import { parse } from 'yaml'

/** Errors: rejects with `invalid-settings`, `malformed-yaml`, `unknown-field` or `invalid-field`. */
export async function readControlSettings(file: string): Promise<ControlSettings> {
  const value = await unwrap(tryAsync(() => Promise.resolve(parseFile(file))))
  const settings = await unwrap(EitherAsync.liftEither(parseValue(controlSettingsSchema, value)))
  return resolvePaths(settings, path.dirname(path.resolve(file)))
}

function parseFile(file: string): unknown {
  const text = readText(file)
  try {
    return parse(text)
  } catch (cause) {
    throw new NettlespurError('malformed-yaml', `${file}: ${String(cause)}`, { cause })
  }
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (cause) {
    throw new NettlespurError('invalid-settings', `${file}: cannot be read`, { cause })
  }
}

function resolvePaths(settings: ControlSettings, folder: string): ControlSettings {
  const resolve = (name: string): string => path.resolve(folder, name)
  const { keyFiles, tls, peerCaFile, dataFolder } = settings
  const { upstreams } = keyFiles
  return {
    ...settings,
    dataFolder: resolve(dataFolder),
    keyFiles: {
      peers: resolve(keyFiles.peers),
      ...(upstreams === undefined ? {} : { upstreams: resolve(upstreams) }),
    },
    ...(peerCaFile === undefined ? {} : { peerCaFile: resolve(peerCaFile) }),
    ...(tls === undefined ? {} : { tls: resolveTls(tls, resolve) }),
  }
}

function resolveTls(
  tls: NonNullable<ControlSettings['tls']>,
  resolve: (name: string) => string,
): NonNullable<ControlSettings['tls']> {
  const { clientCaFile } = tls
  return {
    certFile: resolve(tls.certFile),
    keyFile: resolve(tls.keyFile),
    ...(clientCaFile === undefined ? {} : { clientCaFile: resolve(clientCaFile) }),
  }
}
