/** One call of the batch api in the form in which it is sent to whoever leads. */
import type { NettlespurError, RpcResult } from '@nettlespur/core.errors'
import type { CallLimits, RpcClient } from '@nettlespur/rpc.peer'
import type { EitherAsync } from 'purify-ts'
import type { BatchApi } from './batchApi.js'
import type { BatchRouter } from './createBatchRouter.js'

/** The calls of one member of control, over the connection to it. */
export type MemberCalls = RpcClient<BatchRouter>['call']['batch']

export interface Operation<T> {
  readonly name: string
  /** The job, queue or upstream it is about, for the log. */
  readonly subject: string
  /** What the log keeps of it: each change, reads as a summary, repeated ones only where they fail. */
  readonly kind: 'change' | 'read' | 'repeated'
  /** How long the call waits for a leader to be found, where that is less than the usual patience. */
  readonly patienceMs?: number
  readonly remote: (calls: MemberCalls, limits: CallLimits) => Promise<RpcResult<T>>
  readonly local: (api: BatchApi) => EitherAsync<NettlespurError, T>
}
