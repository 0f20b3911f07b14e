/** The result of one attempt of a call: its value, or the error that the member answered or that stands for its silence. */
import type { NettlespurError } from '@nettlespur/core.errors'

export type AttemptResult<T> = { readonly value: T } | NettlespurError
