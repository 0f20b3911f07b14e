/**
 * Guards against requests that fail on a kept-alive connection without a log line, such as a request for a
 * job's state that is sent some seconds after the previous one. There were three causes:
 * - With Node's default of 5 s and one second on top, the server closed an idle connection 6.0 s after an answer.
 * - On a connection that had not sent anything, the server answered 400 after 30 s.
 * - `GET //` caused an unhandled rejection, which ended the process and with it everyone's connections.
 */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { EitherAsync } from 'purify-ts'
import test, { type ExecutionContext } from 'ava'
import { createHttpServer } from '../src/index.js'

/** How long entries, and so their callers, pause before the states of all jobs are requested again. */
const callerPauseMs = 15_000

async function startServer(t: ExecutionContext) {
  const paths: string[] = []
  const server = await createHttpServer({
    address: '127.0.0.1:0',
    routes: [],
    handleOther: ({ path }) => {
      paths.push(path)
      return EitherAsync(() => Promise.resolve({ status: 200 }))
    },
  })
  t.teardown(async () => {
    server.destroy()
    await server.drain()
  })
  const open = async (): Promise<Socket> => {
    const socket = connect(server.port, '127.0.0.1')
    await once(socket, 'connect')
    return socket
  }
  return { server, open, paths }
}

async function sendGet(socket: Socket, path: string): Promise<string> {
  const answered = once(socket, 'data')
  socket.write(`GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`)
  return String(await answered)
}

test('an idle connection is kept open for longer than callers pause between requests', async (t) => {
  const { open } = await startServer(t)
  const answer = await sendGet(await open(), '/a')
  const [, seconds] = /^keep-alive: timeout=(\d+)\r$/im.exec(answer) ?? []
  t.true(Number(seconds) * 1000 > callerPauseMs, answer)
})

test('a connection that times out before its first request is closed without an answer', async (t) => {
  const { server, open } = await startServer(t)
  server.raw.once('connection', (socket) => {
    const cause = Object.assign(new Error('timeout'), { code: 'ERR_HTTP_REQUEST_TIMEOUT' })
    server.raw.emit('clientError', cause, socket)
  })
  const received: Buffer[] = []
  const socket = await open()
  socket.on('data', (bytes) => received.push(bytes))
  await once(socket, 'close')
  t.is(Buffer.concat(received).toString(), '')
})

test('a request with an invalid URL is answered with 404, and the server keeps serving', async (t) => {
  const { open } = await startServer(t)
  t.regex(await sendGet(await open(), 'http://a:99999/'), /^HTTP\/1.1 404 /)
  t.regex(await sendGet(await open(), '/a'), /^HTTP\/1.1 200 /)
})

test('a path that begins with two slashes is not taken for a host', async (t) => {
  const { open, paths } = await startServer(t)
  t.regex(await sendGet(await open(), '//'), /^HTTP\/1.1 200 /)
  t.regex(await sendGet(await open(), '//b/c'), /^HTTP\/1.1 200 /)
  t.deepEqual(paths, ['//', '//b/c'])
})
