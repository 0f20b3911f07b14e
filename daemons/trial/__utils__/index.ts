/** Starts the daemons as separate processes, for tests only. */
export { DaemonProcess, type LogFields } from './daemonProcess.js'
export { pickLoopbackHost, reserveAddress } from './reserveAddress.js'
export { TrialCluster, type TrialClusterOptions, type TrialInstance } from './trialCluster.js'
export { waitUntil } from './waitUntil.js'
export { callEntry, type CallEntryOptions, type EntryAnswer } from './callEntry.js'
export { createTrialContract } from './createTrialContract.js'
export { GangTrial, type GangTrialOptions } from './gangTrial.js'
export { Balancer, type BalancerOptions } from './balancer.js'
export {
  awaitStatus,
  callOperator,
  changeContract,
  findControl,
  findLeader,
  killLeaders,
  listInForce,
  putContract,
  readContract,
  startAgreementTrial,
  type Accepted,
  type Status,
} from './agreementTrial.js'
