/** The API of control for entries: schemas, the abstract API, its tRPC router and its client. */
export * from './clusterView.js'
export { contractViewSchema, type ContractView } from './contractView.js'
export { ControlApi, type AnswerRequest, type JobOutcome, type JobReference } from './controlApi.js'
export { createControlRouter, type ControlRouter } from './createControlRouter.js'
export { RemoteControlApi, type RemoteControlApiOptions } from './remoteControlApi.js'
export * from './statusView.js'
