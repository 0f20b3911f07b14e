/** An entry that gives set answers and keeps what it was asked. */
import type { IncomingHttpHeaders } from 'node:http'
import type { ExecutionContext } from 'ava'
import { createHttpServer, type HttpMethod, type Route } from '@nettlespur/net.server'
import { NettlespurError } from '@nettlespur/core.errors'
import { EitherAsync, Left, Right } from 'purify-ts'

export interface ReceivedCall {
  readonly method: string
  readonly url: string
  readonly headers: IncomingHttpHeaders
  readonly body: string
}

/** What a route does: answers, refuses, or cuts the connection once the call has come. */
export type FakeAnswer = { status: number; json: unknown } | NettlespurError | 'cut'

export interface FakeCluster {
  readonly endpoint: string
  readonly calls: ReceivedCall[]
  close(): Promise<void>
}

/** One that is closed after the test. */
export async function startCluster(
  t: ExecutionContext,
  answers: Readonly<Record<string, FakeAnswer | readonly FakeAnswer[]>>,
): Promise<FakeCluster> {
  const cluster = await startFakeCluster(answers)
  t.teardown(() => cluster.close())
  return cluster
}

/** Routes are named `METHOD PATH`; each answer in a list is given once, the last one for good. */
export async function startFakeCluster(
  answers: Readonly<Record<string, FakeAnswer | readonly FakeAnswer[]>>,
): Promise<FakeCluster> {
  const calls: ReceivedCall[] = []
  const routes = Object.entries(answers).map(([name, given]) => {
    const [method = '', path = ''] = name.split(' ')
    const queue = Array.isArray(given) ? [...(given as FakeAnswer[])] : [given as FakeAnswer]
    return createRoute(method as HttpMethod, path, queue, calls)
  })
  const server = await createHttpServer({ address: '127.0.0.1:0', routes })
  return {
    endpoint: `http://${server.address}`,
    calls,
    close: async () => {
      const drained = server.drain()
      server.destroy()
      await drained
    },
  }
}

function createRoute(
  method: HttpMethod,
  path: string,
  queue: FakeAnswer[],
  calls: ReceivedCall[],
): Route {
  return {
    method,
    path,
    handle: (request) =>
      request.readBody().chain((body) => {
        const { raw } = request
        calls.push({ method, url: raw.url ?? '', headers: raw.headers, body: body.toString() })
        const answer = queue.length > 1 ? queue.shift() : queue[0]
        if (answer === 'cut' || answer === undefined) {
          raw.socket.destroy()
          return EitherAsync.liftEither(Right({ status: 200, json: {} }))
        }
        const outcome = answer instanceof NettlespurError ? Left(answer) : Right(answer)
        return EitherAsync.liftEither(outcome)
      }),
  }
}
