/** One call of the batch API, in the form in which the client sends it to the current leader. */
import type { NettlespurError, RpcResult } from '@nettlespur/core.errors'
import type { CallLimits, RpcClient } from '@nettlespur/rpc.peer'
import type { EitherAsync } from 'purify-ts'
import type { BatchApi } from './batchApi.js'
import type { BatchRouter } from './createBatchRouter.js'

/** The procedures of one control member, over the connection to it. */
export type MemberCalls = RpcClient<BatchRouter>['call']['batch']

export interface Operation<T> {
  readonly name: string
  /** The job, queue or upstream that the call concerns, for the log. */
  readonly subject: string
  /**
   * Reads may run several times at once; other calls are sent one attempt after the other. The log has a line for each
   * change, a summary of the reads, and repeated calls only if they fail.
   */
  readonly kind: 'change' | 'read' | 'repeated'
  /** How long the call is retried, if that differs from the client's `patienceMs`. */
  readonly patienceMs?: number
  readonly remote: (calls: MemberCalls, limits: CallLimits) => Promise<RpcResult<T>>
  readonly local: (api: BatchApi) => EitherAsync<NettlespurError, T>
}
