/** The transports that are compared under the same tRPC router. `http` is the one the product uses. */
export const transportKinds = [
  'http',
  'http-batch',
  'http-batch-stream',
  'websocket',
  'websocket-deflate',
  'websocket-v8',
] as const
export type TransportKind = (typeof transportKinds)[number]
