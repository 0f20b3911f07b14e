/** Proposes commands; what a proposal became is told once it is applied here. */
import type { Command, CommandOutcome } from '@nettlespur/batch.state'
import type { NettlespurError } from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'

export type Propose = (command: Command) => EitherAsync<NettlespurError, CommandOutcome>
