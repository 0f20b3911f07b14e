/** Reads the certificate files of the listening sides. */
import { readFileSync } from 'node:fs'
import { NettlespurError } from '@nettlespur/core.errors'
import type { TlsFiles } from '@nettlespur/http.server'
import type { TlsSettings } from '@nettlespur/settings.schemas'

/** Errors: throws `invalid-settings`. */
export function readTlsFiles(tls: TlsSettings | undefined): TlsFiles | undefined {
  if (tls === undefined) return undefined
  const ca = tls.clientCaFile === undefined ? {} : { ca: readPem(tls.clientCaFile) }
  return { cert: readPem(tls.certFile), key: readPem(tls.keyFile), ...ca }
}

function readPem(file: string): Buffer {
  try {
    return readFileSync(file)
  } catch (cause) {
    throw new NettlespurError('invalid-settings', `${file}: cannot be read`, { cause })
  }
}
