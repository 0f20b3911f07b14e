/** Encodes and decodes the payload of a log entry: one byte for its kind, then its content. */
import { NettlespurError, toNettlespurError } from '@nettlespur/core.errors'
import { membershipSchema, type Membership } from './member.js'
import { readStoredJson } from './readStoredJson.js'

const kinds = { empty: 0, command: 1, membership: 2 } as const

export type EntryContent =
  | { readonly type: 'empty' }
  | { readonly type: 'command'; readonly command: Buffer }
  | { readonly type: 'membership'; readonly membership: Membership }

export function encodeEmpty(): Buffer {
  return Buffer.from([kinds.empty])
}

export function encodeCommand(command: Buffer): Buffer {
  return Buffer.concat([Buffer.from([kinds.command]), command])
}

export function encodeMembership(membership: Membership): Buffer {
  return Buffer.concat([
    Buffer.from([kinds.membership]),
    Buffer.from(JSON.stringify(membership), 'utf8'),
  ])
}

/** Errors: throws `storage-damaged` for an unknown kind or an invalid membership. */
export function decodePayload(payload: Buffer): EntryContent {
  const content = payload.subarray(1)
  switch (payload[0]) {
    case kinds.empty:
      return { type: 'empty' }
    case kinds.command:
      return { type: 'command', command: content }
    case kinds.membership:
      return { type: 'membership', membership: decodeMembership(content) }
    default:
      throw new NettlespurError('storage-damaged', `an entry of unknown kind ${String(payload[0])}`)
  }
}

export function holdsMembership(payload: Buffer): boolean {
  return payload[0] === kinds.membership
}

function decodeMembership(content: Buffer): Membership {
  return readStoredJson(membershipSchema, content, 'the membership of an entry')
}

/** Errors: throws `storage-damaged` with the entry's index if its payload cannot be decoded. */
export function checkEntry({ index, payload }: { index: number; payload: Buffer }): void {
  try {
    decodePayload(payload)
  } catch (thrown) {
    const { message } = toNettlespurError(thrown)
    throw new NettlespurError('storage-damaged', `entry ${index}: ${message}`, { cause: thrown })
  }
}
