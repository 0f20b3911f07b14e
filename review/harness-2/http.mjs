/** Calls over HTTP/1.1, one connection each, and free addresses on loopback. */
import { Buffer } from 'node:buffer'
import http from 'node:http'
import net from 'node:net'

/** Resolves to the status, 0 if there was no answer in time, and the body: JSON if it is that. */
export function call({ address, method, path, headers = {}, json, text, timeoutMs = 1000 }) {
  const [host, port] = address.split(':')
  const body = text ?? (json === undefined ? undefined : JSON.stringify(json))
  return new Promise((resolve) => {
    const request = http.request({
      host,
      port: Number(port),
      method,
      path,
      agent: false,
      headers: {
        ...(body === undefined
          ? {}
          : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }),
        ...headers,
      },
    })
    const fail = (reason) => {
      request.destroy()
      resolve({ status: 0, reason })
    }
    const timer = globalThis.setTimeout(() => {
      fail('no answer in time')
    }, timeoutMs)
    request.on('error', (error) => {
      globalThis.clearTimeout(timer)
      resolve({ status: 0, reason: error.message })
    })
    request.on('response', (response) => {
      const chunks = []
      response.on('data', (chunk) => chunks.push(chunk))
      response.on('error', (error) => {
        fail(error.message)
      })
      response.on('end', () => {
        globalThis.clearTimeout(timer)
        resolve({
          status: response.statusCode,
          body: readJson(Buffer.concat(chunks).toString('utf8')),
        })
      })
    })
    request.end(body)
  })
}

function readJson(text) {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}

/** Resolves to whether all these ports of the host can be bound. */
export async function areFree(host, ports) {
  for (const port of ports) {
    const isFree = await new Promise((resolve) => {
      const server = net.createServer()
      server.once('error', () => {
        resolve(false)
      })
      server.listen({ host, port }, () => {
        server.close(() => {
          resolve(true)
        })
      })
    })
    if (!isFree) return false
  }
  return true
}
