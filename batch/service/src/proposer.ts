/** Proposes a command for the replicated log; resolves with its outcome once it is applied on this member. */
import type { Command, CommandOutcome } from '@nettlespur/batch.state'
import type { NettlespurError } from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'

export type Propose = (command: Command) => EitherAsync<NettlespurError, CommandOutcome>
