/** The way from an Either back into straight-line code: throws its error. */
import type { Either } from 'purify-ts'
import type { NettlespurError } from './nettlespurError.js'

export function unwrapEither<T>(either: Either<NettlespurError, T>): T {
  return either.caseOf({
    Left: (error) => {
      throw error
    },
    Right: (value) => value,
  })
}
