/** The claim of one request in progress: it is committed at control, with its target, before each attempt is sent. */
import type { Claim, ClaimChange, ClaimOutcome, UpstreamView } from '@nettlespur/api.schemas'
import { NettlespurError } from '@nettlespur/core.errors'
import { DispatchClaim } from '@nettlespur/entry.requests'
import type { ClaimChangeSender } from './claimChangeSender.js'

export interface RequestClaimOptions {
  changes: ClaimChangeSender
  entryId: string
  workspace: string
  key: string
  bodySha256: string
  deadlineAtMs: number
  monotonicMs: () => number
  /** Called with the task id before control is asked for the claim. */
  onTask: (taskId: string) => void
}

export class RequestClaim extends DispatchClaim {
  /** True once control was asked to commit the claim. Even if the call failed, control may hold the claim. */
  hasAskedControl = false
  /** The claim that control committed for this request; undefined before the first commit. */
  committed: Claim | undefined
  /** The claim that control returned instead: another request's under the same key, or one already settled. */
  existing: Claim | undefined
  readonly #opts: RequestClaimOptions

  constructor(opts: RequestClaimOptions) {
    super()
    this.#opts = opts
  }

  override async commit(target: {
    upstream: UpstreamView
    taskId: string
    attempt: number
  }): Promise<number> {
    const { changes, deadlineAtMs, monotonicMs, onTask } = this.#opts
    onTask(target.taskId)
    this.hasAskedControl = true
    const claim = await changes.commit(this.#createChange(target), deadlineAtMs)
    const isOwn =
      claim.target.taskId === target.taskId &&
      claim.target.attempt === target.attempt &&
      claim.outcome === undefined
    if (!isOwn) {
      this.existing = claim
      throw new NettlespurError(
        'outcome-unknown',
        'another attempt holds the claim of its key, or its outcome is recorded already',
      )
    }
    this.committed = claim
    if (monotonicMs() < deadlineAtMs) return claim.fence
    throw new NettlespurError(
      'deadline-before-start',
      'its deadline passed while control committed its claim',
    )
  }

  /** Asks control to record the outcome. Returns the resulting claim, unchanged if it was resolved or moved before. */
  settle(held: Claim, outcome: ClaimOutcome, deadlineAtMs: number): Promise<Claim> {
    const { workspace, key } = this.#opts
    const { fence } = held
    return this.#opts.changes.commit(
      { type: 'settle', workspace, key, fence, outcome },
      deadlineAtMs,
    )
  }

  #createChange({
    upstream,
    taskId,
    attempt,
  }: {
    upstream: UpstreamView
    taskId: string
    attempt: number
  }): ClaimChange {
    const { entryId, workspace, key, bodySha256, deadlineAtMs, monotonicMs } = this.#opts
    const { upstreamId, address, session } = upstream
    const target = { upstreamId, address, taskId, attempt, ...(session && { session }) }
    if (this.committed !== undefined) {
      return { type: 'move', workspace, key, fence: this.committed.fence, entryId, target }
    }
    const remainingMs = Math.max(0, Math.ceil(deadlineAtMs - monotonicMs()))
    return { type: 'open', workspace, key, bodySha256, entryId, target, remainingMs }
  }
}
