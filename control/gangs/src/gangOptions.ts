/** Dependencies and timings of a gang manager. */
import type { TaskReport } from '@nettlespur/api.schemas'
import type { ReplicatedLog } from '@nettlespur/control.log'
import type { StateHolder } from '@nettlespur/control.state'
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { UpstreamClient } from '@nettlespur/upstream.client'
import type { Observable } from 'rxjs'

export interface GangTimings {
  /** How long an upstream holds a task without a renewal. */
  readonly taskLeaseMs: number
  readonly renewTasksEveryMs: number
  /** Added to the end of a lease before its accelerators are assigned again. */
  readonly clockDriftMarginMs: number
  /** How long a task may take to stop after it is asked to. */
  readonly stopGraceMs: number
}

export interface GangOptions {
  clock: Clock
  logger: Logger
  log: ReplicatedLog
  holder: StateHolder
  client: UpstreamClient
  timings: GangTimings
  /** Task reports of upstreams, which wake a gang before its next renewal is due. */
  taskReports: Observable<TaskReport>
  /** Whether an upstream is silent while others are not. */
  isUpstreamSilent: (upstreamId: string) => boolean
  /** Emits the id of each upstream for which the result of `isUpstreamSilent` may have changed. */
  upstreamChanges: Observable<string>
  /** Returns a number between 0 and 1, for jitter. */
  random: () => number
}
