/** The closed list of error kinds and the table from kind to answer. */
export { AttemptHistory } from './attemptHistory.js'
export { describeFault, type FaultFields } from './describeFault.js'
export { errorAnswers, exitCodes, type ErrorAnswer, type Ran } from './errorAnswers.js'
export { errorBodySchema, fromErrorBody, toErrorBody, type ErrorBody } from './errorBody.js'
export { errorKinds, errorKindSchema, type ErrorKind } from './errorKind.js'
export {
  NettlespurError,
  toNettlespurError,
  type NettlespurErrorOptions,
} from './nettlespurError.js'
export { fromRpcResult, toRpcResult, tryAsync, unwrap, type RpcResult } from './rpcResult.js'
export { unwrapEither } from './unwrapEither.js'
