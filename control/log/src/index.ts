/** The replicated log of control, built on Raft. */
export { createRaftRouter, type RaftReceiver, type RaftRouter } from './createRaftRouter.js'
export { RaftLog, type RaftLogOptions } from './raftLog.js'
export {
  ReplicatedLog,
  type Leadership,
  type LogDescription,
  type LogMember,
} from './replicatedLog.js'
export { RpcTransport, type RpcTransportOptions } from './rpcTransport.js'
