/** HTTP calls with deadlines, size limits and errors that say whether the request may have been sent. */
export { callHttp, toAnswerError, type CallHttpOptions, type HttpAnswer } from './callHttp.js'
export { callJson, type CallJsonOptions } from './callJson.js'
export {
  createOutcomeUnknownError,
  openHttp,
  type StreamedAnswer,
  type OpenHttpOptions,
} from './openHttp.js'
