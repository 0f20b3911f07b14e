/** Lets only calls with an accepted bearer key reach a route. */
import { createUnauthorizedError, matchesAnyHash, readBearerKey } from '@nettlespur/net.keys'
import type { Route } from '@nettlespur/net.server'
import { EitherAsync, Left } from 'purify-ts'

export function requireKey(route: Route, keyHashes: readonly string[]): Route {
  return {
    ...route,
    handle: (request) => {
      const key = readBearerKey(request.header('authorization'))
      if (matchesAnyHash(key, keyHashes)) return route.handle(request)
      return EitherAsync.liftEither(Left(createUnauthorizedError()))
    },
  }
}
