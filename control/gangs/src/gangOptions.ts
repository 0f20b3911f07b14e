/** What running gangs needs from its surroundings. */
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
  /** Added to a lease's end before its accelerators are handed on. */
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
  /** What upstreams announce about their tasks: it wakes a gang before its next renewal is due. */
  taskReports: Observable<TaskReport>
  /** Whether an upstream is not heard from although others are. */
  isUpstreamSilent: (upstreamId: string) => boolean
  /** Emits the id of each upstream of which `isUpstreamSilent` may tell something new. */
  upstreamChanges: Observable<string>
  /** Between 0 and 1, for jitter. */
  random: () => number
}
