/** tRPC between the processes of a cluster, authenticated by a peer key and with a deadline on each call. */
export { limitCall, type CallLimits } from './callLimits.js'
export { callPeer } from './callPeer.js'
export { messageBytesMax } from './messageCodec.js'
export { createRpcClient, type RpcClient } from './createRpcClient.js'
export type { RpcClientOptions } from './rpcClientOptions.js'
export { createRpcServer, type RpcServerOptions } from './createRpcServer.js'
export { RpcClients, type RpcClientsOptions } from './rpcClients.js'
