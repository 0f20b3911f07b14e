/** Tests what a connection watcher is told when connections end. */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { SystemClock } from '@nettlespur/core.clock'
import { EitherAsync } from 'purify-ts'
import { Subject, firstValueFrom } from 'rxjs'
import test, { type ExecutionContext } from 'ava'
import { createHttpServer, type CutConnection, type HttpReply } from '../src/index.js'

const get = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`

async function startServer(t: ExecutionContext) {
  const cut = new Subject<CutConnection>()
  const ended = new Subject<'caller' | 'us'>()
  const asked = new Subject<void>()
  const count = { opened: 0 }
  const held = new Promise<HttpReply>(() => undefined)
  const server = await createHttpServer({
    address: '127.0.0.1:0',
    routes: [
      {
        method: 'GET',
        path: '/at-once',
        handle: () => EitherAsync(() => Promise.resolve({ status: 200 })),
      },
      {
        method: 'GET',
        path: '/held',
        handle: () => {
          asked.next()
          return EitherAsync(() => held)
        },
      },
    ],
    connectionWatcher: {
      clock: new SystemClock(),
      onOpened: () => (count.opened += 1),
      onEnded: (endedBy) => {
        ended.next(endedBy)
      },
      onCut: (connection) => {
        cut.next(connection)
      },
    },
  })
  t.teardown(async () => {
    server.destroy()
    await server.drain()
  })
  const open = async (): Promise<Socket> => {
    const socket = connect(server.port, '127.0.0.1')
    socket.on('error', () => undefined)
    await once(socket, 'connect')
    return socket
  }
  return { server, cut, ended, asked, count, open }
}

test('a connection closed by the caller before its answer is reported with the request and the earlier answers', async (t) => {
  const { cut, ended, asked, open, count } = await startServer(t)
  const socket = await open()
  socket.write(get('/at-once'))
  await once(socket, 'data')
  const reached = firstValueFrom(asked)
  socket.write(get('/held'))
  await reached
  const told = Promise.all([firstValueFrom(cut), firstValueFrom(ended)])
  socket.destroy()
  const [connection, endedBy] = await told
  t.like(connection, { answered: 1, endedBy: 'caller' })
  t.deepEqual(connection.unanswered, ['GET /held'])
  t.is(endedBy, 'caller')
  t.is(count.opened, 1)
})

test('a connection closed by the server before its answer is reported as ended by the server', async (t) => {
  const { server, cut, asked, open } = await startServer(t)
  const socket = await open()
  const reached = firstValueFrom(asked)
  socket.write(get('/held'))
  await reached
  const told = firstValueFrom(cut)
  server.destroy()
  t.like(await told, { answered: 0, endedBy: 'us' })
})

test('a connection that ends with all requests answered is reported as ended, but not as cut', async (t) => {
  const { cut, ended, open } = await startServer(t)
  const cuts: CutConnection[] = []
  cut.subscribe((connection) => cuts.push(connection))
  const socket = await open()
  socket.write(get('/at-once'))
  await once(socket, 'data')
  const told = firstValueFrom(ended)
  socket.end()
  t.is(await told, 'caller')
  t.deepEqual(cuts, [])
})
