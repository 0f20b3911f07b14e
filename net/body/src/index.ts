/** Reads the whole body of an HTTP message into memory, up to a size limit. */
export { BodyTooLargeError, readWholeBody } from './readWholeBody.js'
