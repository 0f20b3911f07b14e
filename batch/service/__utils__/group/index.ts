/** A group of control under troubles, on a manual clock. */
export { checkCalm, readyMs } from './calmPromise.js'
export { ControlGroup, groupTimings } from './controlGroup.js'
export { troubleKinds, type TroubleKind } from './groupTrouble.js'
export { playGroup, type PlayedGroup } from './playGroup.js'
