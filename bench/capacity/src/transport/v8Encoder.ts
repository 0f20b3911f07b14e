/** Node's own structured-clone encoding, in place of JSON, for WebSocket messages. */
import { deserialize, serialize } from 'node:v8'

export const v8Encoder = {
  encode: (value: unknown): Uint8Array<ArrayBuffer> => new Uint8Array(serialize(value)),
  decode: (data: string | ArrayBuffer | Uint8Array): unknown =>
    deserialize(typeof data === 'string' ? Buffer.from(data) : new Uint8Array(data)),
}
