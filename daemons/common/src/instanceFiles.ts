/** The files that a daemon reads once, at its start: keys and certificates. */
import { readFileSync } from 'node:fs'
import { NettlespurError, toNettlespurError } from '@nettlespur/core.errors'
import { readKeyFile } from '@nettlespur/net.keys'
import type { TlsFiles } from '@nettlespur/net.server'
import { resolvePath } from '@nettlespur/settings.reader'
import type { TlsSettings } from '@nettlespur/settings.schemas'

/** The part of every instance's settings that names files. */
export interface InstancePaths {
  readonly tls?: TlsSettings | undefined
  readonly peerCaFile?: string | undefined
  readonly keyFiles: Readonly<Record<string, string | undefined>>
}

/** Takes the paths that all instances share from the folder of the settings file. */
export function resolveInstancePaths<T extends InstancePaths>(
  settings: T,
  settingsFile: string,
): T {
  const { tls, peerCaFile, keyFiles } = settings
  return {
    ...settings,
    keyFiles: resolveEach(keyFiles, settingsFile),
    ...(tls === undefined ? {} : { tls: resolveEach({ ...tls }, settingsFile) }),
    ...(peerCaFile === undefined ? {} : { peerCaFile: resolvePath(settingsFile, peerCaFile) }),
  }
}

/** All keys of a file, the first being the one to send; none without a file. Throws `invalid-settings`. */
export function readKeys(file: string | undefined): readonly string[] {
  if (file === undefined) return []
  const keys = readKeyFile(file)
  if (keys.isRight()) return keys.extract()
  throw toNettlespurError(keys.extract())
}

/** Throws `invalid-settings`. */
export function readTlsFiles(tls: TlsSettings | undefined): TlsFiles | undefined {
  return tls && { cert: readPem(tls.certFile), key: readPem(tls.keyFile) }
}

/** Throws `invalid-settings`. */
export function readPeerCa({ peerCaFile }: InstancePaths): Buffer | undefined {
  return peerCaFile === undefined ? undefined : readPem(peerCaFile)
}

function resolveEach<T extends Readonly<Record<string, string | undefined>>>(
  files: T,
  base: string,
): T {
  const resolved = Object.entries(files).map(([name, file]) => [
    name,
    file === undefined ? undefined : resolvePath(base, file),
  ])
  return Object.fromEntries(resolved) as T
}

function readPem(file: string): Buffer {
  try {
    return readFileSync(file)
  } catch (cause) {
    throw new NettlespurError('invalid-settings', `${file}: cannot be read`, { cause })
  }
}
