/** HTTP calls with deadlines, bounded answers and errors that say whether a byte left. */
export { callHttp, toAnswerError, type CallHttpOptions, type HttpAnswer } from './callHttp.js'
export { callJson, type CallJsonOptions } from './callJson.js'
export {
  createOutcomeUnknownError,
  openHttp,
  type StreamedAnswer,
  type OpenHttpOptions,
} from './openHttp.js'
