/** The files an entry reads once, at its start: keys and certificates. */
import { readFileSync } from 'node:fs'
import { NettlespurError, toNettlespurError } from '@nettlespur/core.errors'
import { readKeyFile } from '@nettlespur/http.keys'
import type { TlsFiles } from '@nettlespur/http.server'
import type { EntrySettings } from '@nettlespur/settings.schemas'

/** Keys by role; the first of each is the one that is sent. */
export interface EntryKeys {
  readonly peers: readonly string[]
  readonly operators: readonly string[]
  readonly upstreams: readonly string[]
}

/** Throws `invalid-settings`. */
export function readEntryKeys(settings: EntrySettings): EntryKeys {
  const { peers, operators, upstreams } = settings.keyFiles
  return { peers: readKeys(peers), operators: readKeys(operators), upstreams: readKeys(upstreams) }
}

/** Throws `invalid-settings`. */
export function readTlsFiles(settings: EntrySettings): TlsFiles | undefined {
  const { tls } = settings
  if (tls === undefined) return undefined
  const ca = tls.clientCaFile === undefined ? {} : { ca: readPem(tls.clientCaFile) }
  return { cert: readPem(tls.certFile), key: readPem(tls.keyFile), ...ca }
}

/** Throws `invalid-settings`. */
export function readPeerCa(settings: EntrySettings): Buffer | undefined {
  return settings.peerCaFile === undefined ? undefined : readPem(settings.peerCaFile)
}

function readKeys(file: string | undefined): readonly string[] {
  if (file === undefined) return []
  const keys = readKeyFile(file)
  if (keys.isRight()) return keys.extract()
  throw toNettlespurError(keys.extract())
}

function readPem(file: string): Buffer {
  try {
    return readFileSync(file)
  } catch (cause) {
    throw new NettlespurError('invalid-settings', `${file}: cannot be read`, { cause })
  }
}
