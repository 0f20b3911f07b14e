/**
 * Bearer keys. A key is random text of at least 128 bits, so its plain SHA-256 is safe to store; digests
 * are compared in constant time, and a wrong key gets the same answer whatever is wrong with it.
 */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'
import { NettlespurError } from '@nettlespur/core.errors'

const scheme = 'Bearer '
const keyBytes = 32

export function createKey(): string {
  return randomBytes(keyBytes).toString('base64url')
}

/** SHA-256 of a key, in lower-case hexadecimal digits. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

/** The key of an Authorization header; undefined where it has another form. */
export function readBearerKey(authorization: string | undefined): string | undefined {
  return authorization?.startsWith(scheme) === true ? authorization.slice(scheme.length) : undefined
}

export function formatBearerKey(key: string): string {
  return scheme + key
}

/** Whether `key` is one of those whose hashes are given. All hashes are compared, matching or not. */
export function matchesAnyHash(key: string | undefined, hashes: readonly string[]): boolean {
  const digest = Buffer.from(hashKey(key ?? ''), 'hex')
  let matched = false
  for (const hash of hashes) {
    const expected = Buffer.from(hash, 'hex')
    if (expected.length === digest.length && timingSafeEqual(expected, digest)) matched = true
  }
  return key !== undefined && matched
}

/** The one answer to a missing or wrong key. */
export function createUnauthorizedError(): NettlespurError {
  return new NettlespurError('unauthorized', 'the key is missing or not accepted here', {
    hint: 'send "Authorization: Bearer KEY" with a key of this workspace or role',
  })
}
