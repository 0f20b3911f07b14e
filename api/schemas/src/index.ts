/** Schemas and types of everything that crosses a process boundary. */
export * from './claim.js'
export * from './contract.js'
export * from './fields.js'
export * from './job.js'
export * from './task.js'
export * from './upstream.js'
export { formatPath, parseValue } from './parseValue.js'
