/** WebSocket settings that client and server share: message size limit and compression. */

/** Longest message that either side accepts. */
export const messageBytesMax = 8_388_608

/** The code in tRPC's form of an error for a call that no message can carry. */
export const tooLargeCode = 'PAYLOAD_TOO_LARGE'

/**
 * The compression context is kept between messages, because the messages of idle peers are nearly identical.
 * Window size and memory level limit its memory to about 150 KB per connection on each side.
 */
export const compression = {
  threshold: 0,
  serverMaxWindowBits: 14,
  clientMaxWindowBits: 14,
  zlibDeflateOptions: { memLevel: 7 },
}
