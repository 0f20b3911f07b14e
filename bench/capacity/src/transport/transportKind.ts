/** The transports that are compared under the same tRPC router. `product` is the one in rpc.peer. */
export const transportKinds = [
  'product',
  'http',
  'http-batch',
  'http-batch-stream',
  'websocket',
  'websocket-deflate',
  'websocket-v8',
] as const
export type TransportKind = (typeof transportKinds)[number]
