/** Loopback addresses for processes that must know each other's before they start. */
import { randomInt } from 'node:crypto'
import { once } from 'node:events'
import { createServer, type AddressInfo } from 'node:net'

/** An IP number of loopback that no other test is likely to use. */
export function pickLoopbackHost(): string {
  return `127.${randomInt(10, 250)}.${randomInt(1, 250)}.${randomInt(1, 250)}`
}

/** The system gives a port out again once it is free, so that two instances of one cluster could get the same. */
const givenOut = new Set<string>()

/** `HOST:PORT` with a port the system gave out and that is free again; each another. */
export async function reserveAddress(host: string): Promise<string> {
  for (;;) {
    const address = await findFreeAddress(host)
    if (givenOut.has(address)) continue
    givenOut.add(address)
    return address
  }
}

async function findFreeAddress(host: string): Promise<string> {
  const server = createServer()
  server.listen(0, host)
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return `${host}:${port}`
}
