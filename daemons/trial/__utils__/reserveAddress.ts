/** Loopback addresses for processes that must know each other's before they start. */
import { reservePorts } from '@nettlespur/net.ports'
import { randomInt } from 'node:crypto'

/** An IP number of loopback that no other test is likely to use. */
export function pickLoopbackHost(): string {
  return `127.${randomInt(10, 250)}.${randomInt(1, 250)}.${randomInt(1, 250)}`
}

/** Returns `HOST:PORT` with a free port that nobody else gets; each another. */
export async function reserveAddress(host: string): Promise<string> {
  const [port] = await reservePorts(host, 1)
  return `${host}:${String(port)}`
}
