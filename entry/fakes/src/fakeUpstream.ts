/** A fake upstream that receives short requests over HTTP and records them; the test decides when and how each is answered. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { taskHeaders } from '@nettlespur/api.schemas'
import { createHttpServer, type HttpServer } from '@nettlespur/net.server'
import { BehaviorSubject, filter, firstValueFrom } from 'rxjs'

/** A short request that arrived and that the test answers. */
export interface ReceivedTask {
  readonly taskId: string
  readonly attempt: string
  readonly body: string
  /** Sends a complete answer, with the task's own id and attempt unless `headers` replace them. */
  answer(body: string, headers?: Record<string, string>, status?: number): void
  /** Sends a complete answer in chunks, without a content length. */
  answerChunked(body: string): void
  /** Refuses the request with `ran: no`. */
  refuse(): void
  /** Sends the head and a part of the body, then closes the connection. */
  truncate(): void
}

export class FakeUpstream {
  readonly received = new BehaviorSubject<readonly ReceivedTask[]>([])
  readonly #server: HttpServer

  private constructor(server: HttpServer) {
    this.#server = server
  }

  /** Starts the fake; if `answer` is given, it is called with each task. */
  static async start(answer?: (task: ReceivedTask) => void): Promise<FakeUpstream> {
    const started: { upstream?: FakeUpstream } = {}
    const server = await createHttpServer({
      address: '127.0.0.1:0',
      routes: [],
      fallback: (request, response) => {
        if (request.url?.endsWith('/run') !== true) {
          answerUnknownRoute(response)
          return
        }
        void readTask(request, response).then((task) => {
          const { received } = started.upstream ?? { received: undefined }
          received?.next([...received.value, task])
          answer?.(task)
        })
      },
    })
    started.upstream = new FakeUpstream(server)
    return started.upstream
  }

  get address(): string {
    return this.#server.address
  }

  /** Waits until `count` tasks have arrived. */
  whenReceived(count: number): Promise<readonly ReceivedTask[]> {
    return firstValueFrom(this.received.pipe(filter((tasks) => tasks.length >= count)))
  }

  async stop(): Promise<void> {
    const drained = this.#server.drain()
    this.#server.destroy()
    await drained
  }
}

/** Answers all calls but runs as unknown: the fake keeps no state of its tasks that could be queried. */
function answerUnknownRoute(response: ServerResponse): void {
  response.writeHead(404, { 'content-type': 'application/json' })
  response.end(JSON.stringify({ kind: 'unknown-route', message: 'no such call', ran: 'no' }))
}

async function readTask(request: IncomingMessage, response: ServerResponse): Promise<ReceivedTask> {
  const chunks: Buffer[] = []
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk)
  const taskId = String(request.headers[taskHeaders.taskId])
  const attempt = String(request.headers[taskHeaders.attempt])
  const taskHeaderValues = { [taskHeaders.taskId]: taskId, [taskHeaders.attempt]: attempt }
  return {
    taskId,
    attempt,
    body: Buffer.concat(chunks).toString('utf8'),
    answer: (body, headers = {}, status = 200) => {
      const length = { 'content-length': String(Buffer.byteLength(body)) }
      response.writeHead(status, { ...taskHeaderValues, ...length, ...headers })
      response.end(body)
    },
    answerChunked: (body) => {
      response.writeHead(200, taskHeaderValues)
      response.write(body)
      response.end()
    },
    refuse: () => {
      response.writeHead(503, { 'content-type': 'application/json' })
      response.end(JSON.stringify({ kind: 'upstream-refused', message: 'full', ran: 'no' }))
    },
    truncate: () => {
      response.writeHead(200, { ...taskHeaderValues, 'content-length': '100' })
      response.write('part', () => response.destroy())
    },
  }
}
