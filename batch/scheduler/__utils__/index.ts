/** Fixtures for tests of scheduling rounds. */
export { createGang } from './createGang.js'
export { DelayWatch, delayMaxMs } from './delayWatch.js'
export { Fleet } from './fleet.js'
export { arbitraryJobs, createRandomView } from './randomView.js'
export { createGradedFleet, gradedSpeeds, SpeedLoad } from './speedLoad.js'
