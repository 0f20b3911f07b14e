/** Agreement between control instances by Raft. */
export type { MemberDescription, NodeDescription } from './describeNode.js'
export { memberSchema, membershipSchema, type Member, type Membership } from './member.js'
export * from './messages.js'
export { RaftNode } from './raftNode.js'
export type { RaftLimits, RaftOptions, RaftTimings } from './raftOptions.js'
export { RaftTransport } from './raftTransport.js'
export type { RaftRole, Standing } from './replica.js'
export { StateMachine } from './stateMachine.js'
