/** Reads an entry's settings file; paths in it are taken from its folder. */
import { readFileSync } from 'node:fs'
import path from 'node:path'
import { parseValue } from '@nettlespur/api.schemas'
import { NettlespurError, toNettlespurError } from '@nettlespur/core.errors'
import { entrySettingsSchema, type EntrySettings } from '@nettlespur/settings.schemas'
import { parse } from 'yaml'

/** Throws `malformed-yaml` and `invalid-settings`. */
export function readEntrySettings(file: string): EntrySettings {
  const settings = parseValue(entrySettingsSchema, parseYaml(file))
  if (settings.isRight()) return resolvePaths(settings.extract(), path.dirname(file))
  const fault = toNettlespurError(settings.extract())
  throw new NettlespurError('invalid-settings', `${file}: ${fault.message}`, { hint: fault.hint })
}

function parseYaml(file: string): unknown {
  const text = readText(file)
  try {
    return parse(text) as unknown
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause)
    throw new NettlespurError('malformed-yaml', `${file}: ${reason}`)
  }
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (cause) {
    throw new NettlespurError('invalid-settings', `${file}: cannot be read`, { cause })
  }
}

function resolvePaths(settings: EntrySettings, folder: string): EntrySettings {
  const resolve = (file: string): string => path.resolve(folder, file)
  const { peers, operators, upstreams } = settings.keyFiles
  const { tls, peerCaFile } = settings
  return {
    ...settings,
    keyFiles: {
      peers: resolve(peers),
      ...(operators === undefined ? {} : { operators: resolve(operators) }),
      ...(upstreams === undefined ? {} : { upstreams: resolve(upstreams) }),
    },
    ...(peerCaFile === undefined ? {} : { peerCaFile: resolve(peerCaFile) }),
    ...(tls === undefined
      ? {}
      : {
          tls: {
            certFile: resolve(tls.certFile),
            keyFile: resolve(tls.keyFile),
            ...(tls.clientCaFile === undefined ? {} : { clientCaFile: resolve(tls.clientCaFile) }),
          },
        }),
  }
}
