/**
 * Checks what is proposed before it enters the log. A committed entry is applied by every member, and again after each
 * restart: one that cannot be read would stop all of them for good.
 */
import { parseValue } from '@nettlespur/api.schemas'
import { NettlespurError, toNettlespurError, unwrapEither } from '@nettlespur/core.errors'
import { encodeCommand } from './entryPayload.js'
import { memberSchema, type Member } from './member.js'
import type { Replica } from './replica.js'
import type { PreparedCommand } from './stateMachine.js'

export interface Proposal<R> {
  /** That of the entry which holds the command. */
  readonly payload: Buffer
  /** Applies the command once it is committed, so that this member does not read it again. */
  readonly prepared: PreparedCommand<R>
}

/**
 * Errors: throws `body-too-large` if no message to a follower can carry the command, and `invalid-field` if the state
 * machine cannot read it.
 */
export function prepareProposal<R>({ opts }: Replica<R>, command: Buffer): Proposal<R> {
  const payload = encodeCommand(command)
  const { payloadBytesMax } = opts.transport
  if (payload.length > payloadBytesMax) {
    const message = `the change takes ${payload.length} bytes, and the log at most ${payloadBytesMax}`
    throw new NettlespurError('body-too-large', message)
  }
  try {
    return { payload, prepared: opts.machine.prepare(command, 'the change') }
  } catch (thrown) {
    const { message: reason } = toNettlespurError(thrown)
    opts.logger.error({ event: 'raft.proposal-refused', bytes: command.length, reason })
    throw new NettlespurError('invalid-field', reason, { cause: thrown })
  }
}

/** Errors: throws `invalid-field` and `unknown-field` if a membership with this member could not be read. */
export function checkMember(member: Member): void {
  unwrapEither(parseValue(memberSchema, member))
}
