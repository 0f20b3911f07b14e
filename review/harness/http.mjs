/** One HTTP call with a JSON body. */
import http from 'node:http'

/** Resolves to `{ status, body }`, or to undefined if no whole answer came within `timeoutMs`. */
export function call({ address, method, path, headers = {}, json, timeoutMs = 3000, agent }) {
  const separator = address.lastIndexOf(':')
  const text = json === undefined ? undefined : JSON.stringify(json)
  return new Promise((resolve) => {
    const request = http.request({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
      method,
      path,
      headers: {
        ...(text === undefined
          ? {}
          : {
              'content-type': 'application/json',
              'content-length': String(globalThis.Buffer.byteLength(text)),
            }),
        ...headers,
      },
      agent,
    })
    const timer = globalThis.setTimeout(() => {
      request.destroy()
      resolve(undefined)
    }, timeoutMs)
    const finish = (answer) => {
      globalThis.clearTimeout(timer)
      resolve(answer)
    }
    request.on('error', () => finish(undefined))
    request.on('response', (response) => {
      const chunks = []
      response.on('data', (chunk) => chunks.push(chunk))
      response.on('error', () => finish(undefined))
      response.on('end', () => {
        const body = globalThis.Buffer.concat(chunks).toString('utf8')
        finish({ status: response.statusCode, headers: response.headers, body })
      })
    })
    request.end(text)
  })
}

export function sleep(ms) {
  return new Promise((resolve) => {
    globalThis.setTimeout(resolve, ms)
  })
}
