/**
 * An upstream that runs short requests over HTTP as a test tells it to. It keeps what it received; the
 * test decides when and how each is answered.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { taskHeaders } from '@nettlespur/api.schemas'
import { createHttpServer, type HttpServer } from '@nettlespur/net.server'
import { BehaviorSubject, filter, firstValueFrom } from 'rxjs'

/** One request that arrived, to be answered by the test. */
export interface ReceivedTask {
  readonly taskId: string
  readonly attempt: string
  readonly body: string
  /** Answers whole, under the task's own id and attempt unless told otherwise. */
  answer(body: string, headers?: Record<string, string>, status?: number): void
  /** Answers whole but in chunks, without stating a length. */
  answerChunked(body: string): void
  /** Refuses it as not run. */
  refuse(): void
  /** Sends the head and a part of the body, then cuts the connection. */
  truncate(): void
}

export class FakeUpstream {
  readonly received = new BehaviorSubject<readonly ReceivedTask[]>([])
  readonly #server: HttpServer

  private constructor(server: HttpServer) {
    this.#server = server
  }

  /** Answers each task by `answer`, if given; otherwise the test does. */
  static async start(answer?: (task: ReceivedTask) => void): Promise<FakeUpstream> {
    const take: { into?: FakeUpstream } = {}
    const server = await createHttpServer({
      address: '127.0.0.1:0',
      routes: [],
      fallback: (request, response) => {
        if (request.url?.endsWith('/run') !== true) {
          answerQuestion(response)
          return
        }
        void readTask(request, response).then((task) => {
          const { received } = take.into ?? { received: undefined }
          received?.next([...received.value, task])
          answer?.(task)
        })
      },
    })
    take.into = new FakeUpstream(server)
    return take.into
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

/** It remembers nothing of its tasks that could be asked for. */
function answerQuestion(response: ServerResponse): void {
  response.writeHead(404, { 'content-type': 'application/json' })
  response.end(JSON.stringify({ kind: 'unknown-route', message: 'no such call', ran: 'no' }))
}

async function readTask(request: IncomingMessage, response: ServerResponse): Promise<ReceivedTask> {
  const chunks: Buffer[] = []
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk)
  const taskId = String(request.headers[taskHeaders.taskId])
  const attempt = String(request.headers[taskHeaders.attempt])
  const own = { [taskHeaders.taskId]: taskId, [taskHeaders.attempt]: attempt }
  return {
    taskId,
    attempt,
    body: Buffer.concat(chunks).toString('utf8'),
    answer: (body, headers = {}, status = 200) => {
      const length = { 'content-length': String(Buffer.byteLength(body)) }
      response.writeHead(status, { ...own, ...length, ...headers })
      response.end(body)
    },
    answerChunked: (body) => {
      response.writeHead(200, own)
      response.write(body)
      response.end()
    },
    refuse: () => {
      response.writeHead(503, { 'content-type': 'application/json' })
      response.end(JSON.stringify({ kind: 'upstream-refused', message: 'full', ran: 'no' }))
    },
    truncate: () => {
      response.writeHead(200, { ...own, 'content-length': '100' })
      response.write('part', () => response.destroy())
    },
  }
}
