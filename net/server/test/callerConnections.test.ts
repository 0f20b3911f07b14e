/**
 * What users saw: a job's state that could not be had in time, with nothing in any log. A caller keeps its
 * connection and asks for a job's state seconds later; the server had closed the connection meanwhile, or
 * answered it before it asked, or had ended whole over the path of somebody else.
 *
 * Evidence: on a connection kept idle the server's end came 6.0 s after the answer (Node's 5 s and a second);
 * on one on which nothing had been sent yet a 400 came after 30 s; `GET //` ended in a rejection that nobody
 * handles, which ends the process.
 */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { EitherAsync } from 'purify-ts'
import test, { type ExecutionContext } from 'ava'
import { createHttpServer } from '../src/index.js'

/** Entries are idle for this long before the states of all jobs are asked for, and callers with them. */
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

test('a connection is kept for longer than callers pause', async (t) => {
  const { open } = await startServer(t)
  const answer = await sendGet(await open(), '/a')
  const [, seconds] = /^keep-alive: timeout=(\d+)\r$/im.exec(answer) ?? []
  t.true(Number(seconds) * 1000 > callerPauseMs, answer)
})

test('a connection on which nothing was asked yet gets no answer, also when it is given up', async (t) => {
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

test('a path that cannot be read is refused, and the server goes on', async (t) => {
  const { open } = await startServer(t)
  t.regex(await sendGet(await open(), 'http://a:99999/'), /^HTTP\/1.1 404 /)
  t.regex(await sendGet(await open(), '/a'), /^HTTP\/1.1 200 /)
})

test('a path that begins with two slashes names no host', async (t) => {
  const { open, paths } = await startServer(t)
  t.regex(await sendGet(await open(), '//'), /^HTTP\/1.1 200 /)
  t.regex(await sendGet(await open(), '//b/c'), /^HTTP\/1.1 200 /)
  t.deepEqual(paths, ['//', '//b/c'])
})
