/**
 * Creates, formats and checks bearer keys. A key is random text of at least 128 bits, so its unsalted SHA-256
 * is safe to store. Digests are compared in constant time, and the answer to a rejected key does not reveal
 * why it was rejected.
 */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'
import { NettlespurError } from '@nettlespur/core.errors'

const scheme = 'Bearer '
const keyBytes = 32

export function createKey(): string {
  return randomBytes(keyBytes).toString('base64url')
}

/** Returns the SHA-256 of a key in lower-case hexadecimal digits. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

/** Returns the key of an Authorization header, or undefined if the header is absent or not `Bearer KEY`. */
export function readBearerKey(authorization: string | undefined): string | undefined {
  return authorization?.startsWith(scheme) === true ? authorization.slice(scheme.length) : undefined
}

export function formatBearerKey(key: string): string {
  return scheme + key
}

/**
 * Returns whether the hash of `key` is among `hashes`. Compares with every hash even after a match, so that
 * the time taken does not reveal which one matched.
 */
export function matchesAnyHash(key: string | undefined, hashes: readonly string[]): boolean {
  const digest = Buffer.from(hashKey(key ?? ''), 'hex')
  let matched = false
  for (const hash of hashes) {
    const expected = Buffer.from(hash, 'hex')
    if (expected.length === digest.length && timingSafeEqual(expected, digest)) matched = true
  }
  return key !== undefined && matched
}

/** Creates the error for a missing or wrong key, the same in both cases. */
export function createUnauthorizedError(): NettlespurError {
  return new NettlespurError('unauthorized', 'the key is missing or not accepted here', {
    hint: 'send "Authorization: Bearer KEY" with a key of this workspace or role',
  })
}
