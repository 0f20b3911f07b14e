/** Reads key files: one key per line; blank lines and lines that start with "#" are ignored. */
import { minOf } from '@nettlespur/core.lists'
import { readFileSync } from 'node:fs'
import { NettlespurError } from '@nettlespur/core.errors'
import { Left, Right, type Either } from 'purify-ts'

/** In characters; 22 characters of base64url hold 128 bits. */
const minKeyLength = 22

/** Returns the keys of a file; a client sends the first one. Errors: `invalid-settings`. */
export function readKeyFile(file: string): Either<NettlespurError, readonly string[]> {
  try {
    return checkKeys(file, readFileSync(file, 'utf8'))
  } catch (cause) {
    return Left(new NettlespurError('invalid-settings', `${file}: cannot be read`, { cause }))
  }
}

function checkKeys(file: string, text: string): Either<NettlespurError, readonly string[]> {
  const keys = text
    .split('\n')
    .map((line) => line.trim())
    .filter((line) => line !== '' && !line.startsWith('#'))
  if (keys.length === 0)
    return Left(new NettlespurError('invalid-settings', `${file}: holds no key`))
  const shortest = minOf(keys.map((key) => key.length))
  if (shortest >= minKeyLength) return Right(keys)
  return Left(
    new NettlespurError(
      'invalid-settings',
      `${file}: a key is shorter than ${minKeyLength} characters`,
      {
        hint: 'make one with: nettlespur key create',
      },
    ),
  )
}
