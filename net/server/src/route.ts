/** Routes, each a method, a path with `:name` parts and a handler, and how requests are matched to them. */
import type { Readable } from 'node:stream'
import type { NettlespurError } from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'
import type { HttpRequest } from './httpRequest.js'

export type HttpMethod = 'GET' | 'POST' | 'PUT' | 'DELETE'

/** An answer with one kind of body: a JSON value, bytes, or a stream of bytes. */
export interface HttpReply {
  readonly status: number
  readonly headers?: Readonly<Record<string, string>>
  readonly json?: unknown
  readonly bytes?: Buffer | string
  readonly stream?: Readable
}

export interface Route {
  readonly method: HttpMethod
  readonly path: string
  readonly handle: (request: HttpRequest) => EitherAsync<NettlespurError, HttpReply>
}

export interface RouteMatch {
  readonly route: Route
  readonly params: Readonly<Record<string, string>>
}

/** Returns the first route that matches, or undefined if none does. */
export function matchRoute(
  routes: readonly Route[],
  method: string,
  path: string,
): RouteMatch | undefined {
  for (const route of routes) {
    const params = route.method === method ? matchPath(route.path, path) : undefined
    if (params !== undefined) return { route, params }
  }
  return undefined
}

function matchPath(pattern: string, path: string): Record<string, string> | undefined {
  const expected = pattern.split('/')
  const given = path.split('/')
  if (expected.length !== given.length) return undefined
  const params: Record<string, string> = {}
  for (const [index, part] of expected.entries()) {
    const value = given[index] ?? ''
    if (part.startsWith(':')) params[part.slice(1)] = decodePart(value)
    else if (part !== value) return undefined
  }
  return params
}

function decodePart(part: string): string {
  try {
    return decodeURIComponent(part)
  } catch {
    return part
  }
}
