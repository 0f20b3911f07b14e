/** What both sides agree on for the bytes of their WebSocket. */

/** Longest message either side takes. */
export const messageBytesMax = 8_388_608

/**
 * The compression keeps its window from message to message, since what peers say at rest is nearly the same
 * each time. Window and memory level bound what one connection holds for it to about 150 KB a side.
 */
export const compression = {
  threshold: 0,
  serverMaxWindowBits: 14,
  clientMaxWindowBits: 14,
  zlibDeflateOptions: { memLevel: 7 },
}
