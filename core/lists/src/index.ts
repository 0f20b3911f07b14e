/** Operations on lists of any length. A call that spreads a list over its arguments fails beyond some 120,000 items. */
export { addAll } from './addAll.js'
export { maxOf, minOf } from './extremes.js'
