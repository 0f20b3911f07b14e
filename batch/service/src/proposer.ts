/** Proposes a command for the replicated log; resolves with its outcome once it is applied on this member. */
import type { Command, CommandOutcome } from '@nettlespur/batch.state'
import type { NettlespurError } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import type { EitherAsync } from 'purify-ts'

export type Propose = (command: Command) => EitherAsync<NettlespurError, CommandOutcome>

/** Resolves to false if the command was not committed or its outcome is unknown. */
export type TryPropose = (command: Command) => Promise<boolean>

export interface TryProposeOptions {
  propose: Propose
  /** Gets a warning for each command that was not committed or whose outcome is unknown. */
  logger: Logger
}

export function createTryPropose({ propose, logger }: TryProposeOptions): TryPropose {
  return async (command) => {
    const outcome = await propose(command).run()
    outcome.ifLeft(({ kind, message: reason }) => {
      logger.warn({ event: 'proposal.failed', type: command.type, kind, reason })
    })
    return outcome.isRight()
  }
}
