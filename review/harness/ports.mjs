/** Finds ports that are free on all the given loopback hosts. */
import net from 'node:net'

const lowest = 12_000
const highest = 30_000

export async function findPorts(hosts, count) {
  const found = []
  while (found.length < count) {
    const port = lowest + Math.floor(Math.random() * (highest - lowest))
    if (found.includes(port)) continue
    const free = await Promise.all(hosts.map((host) => isFree(host, port)))
    if (free.every(Boolean)) found.push(port)
  }
  return found
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer()
    server.once('error', () => resolve(false))
    server.listen({ host, port }, () => {
      server.close(() => resolve(true))
    })
  })
}
