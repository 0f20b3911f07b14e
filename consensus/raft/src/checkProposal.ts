/**
 * Checks a command before it enters the log. A committed entry is applied by every member, and again after each restart:
 * one that cannot be read would stop all of them for good.
 */
import { parseValue } from '@nettlespur/api.schemas'
import { NettlespurError } from '@nettlespur/core.errors'
import { memberSchema, type Member } from './member.js'
import type { Replica } from './replica.js'

/**
 * `payload` is that of the entry that would hold `command`. Errors: throws `invalid-field` if the state machine cannot read
 * the command, and `body-too-large` if no message to a follower can carry the payload.
 */
export function checkProposal<R>({ opts }: Replica<R>, command: Buffer, payload: Buffer): void {
  const { payloadBytesMax } = opts.transport
  if (payload.length > payloadBytesMax) {
    const message = `the change takes ${payload.length} bytes, and the log at most ${payloadBytesMax}`
    throw new NettlespurError('body-too-large', message)
  }
  const fault = opts.machine.findFault(command)
  if (fault === undefined) return
  opts.logger.error({ event: 'raft.proposal-refused', bytes: command.length, reason: fault })
  throw new NettlespurError('invalid-field', `the members could not read this change: ${fault}`)
}

/** Errors: throws `invalid-field` and `unknown-field` if a membership with this member could not be read. */
export function checkMember(member: Member): void {
  parseValue(memberSchema, member).ifLeft((error) => {
    throw error
  })
}
