/**
 * Reserves ports between the check that they are free and the moment at which a process binds them. They lie below the
 * ephemeral range: a port within it may be assigned meanwhile to any socket that names none.
 */
import { randomInt } from 'node:crypto'
import { once } from 'node:events'
import { createServer } from 'node:net'
import { readEphemeralPortMin } from './readEphemeralPortMin.js'

/** Lower ports are often those of known services. */
const portMin = 10_000

/** `HOST:PORT` of all ports reserved by this process: a second caller must not get one that is not bound yet. */
const reserved = new Set<string>()

/** Returns `count` different ports that are free on the host, an IP number. Errors: rejects if it is not a local one. */
export async function reservePorts(host: string, count: number): Promise<number[]> {
  const portMax = await readEphemeralPortMin()
  const ports: number[] = []
  while (ports.length < count) {
    const port = randomInt(portMin, portMax)
    const address = `${host}:${port}`
    if (reserved.has(address) || !(await isFree(host, port))) continue
    reserved.add(address)
    ports.push(port)
  }
  return ports
}

async function isFree(host: string, port: number): Promise<boolean> {
  const server = createServer()
  try {
    server.listen(port, host)
    await once(server, 'listening')
  } catch (thrown) {
    if ((thrown as NodeJS.ErrnoException).code === 'EADDRINUSE') return false
    throw thrown
  }
  server.close()
  await once(server, 'close')
  return true
}
