import { once } from 'node:events'
import { createServer, type AddressInfo } from 'node:net'
import test from 'ava'
import { readEphemeralPortMin, reservePorts } from '../src/index.js'

const host = '127.0.0.41'
/** Enough for the same port to be drawn twice. */
const reservations = 3000

test('no port is reserved twice, however many are asked for', async (t) => {
  t.is(new Set(await reservePorts(host, reservations)).size, reservations)
})

test('a port that is in use is not reserved', async (t) => {
  const [port] = await reservePorts(host, 1)
  const server = createServer().listen(port, host)
  await once(server, 'listening')
  t.teardown(() => server.close())
  t.false((await reservePorts(host, reservations)).includes(port ?? 0))
})

test('the system assigns no reserved port to a socket that names none before its process binds it', async (t) => {
  const min = await readEphemeralPortMin()
  const server = createServer().listen(0)
  await once(server, 'listening')
  t.teardown(() => server.close())
  t.true((server.address() as AddressInfo).port >= min)
  for (const port of await reservePorts(host, reservations)) t.true(port < min)
})
