/** Whole values of the common types, to be varied by a test. */
export * from './samples.js'
