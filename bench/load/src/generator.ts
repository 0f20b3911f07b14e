/** The load generator alone, without what starts trial processes. */
export { HttpTarget, type HttpTargetOptions } from './httpTarget.js'
export { LoadReport, type LoadOutcome } from './loadReport.js'
export { LoadTarget } from './loadTarget.js'
export {
  runClosedLoad,
  runOpenLoad,
  type ClosedLoadOptions,
  type OpenLoadOptions,
  type RunLoadOptions,
} from './runLoad.js'
