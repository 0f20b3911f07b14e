/** An HTTP server with routes, size limits, TLS and error answers defined by the error table. */
export type { ConnectionWatcher, CutConnection } from './connectionWatch.js'
export {
  createHttpServer,
  writeError,
  type HttpServer,
  type HttpServerOptions,
  type TlsFiles,
} from './createHttpServer.js'
export { HttpRequest, parseJson } from './httpRequest.js'
export type { HttpMethod, HttpReply, Route } from './route.js'
