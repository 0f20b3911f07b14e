/**
 * Keeps a ClusterView up to date by long-polling control. After a failed poll or a stale update the next poll
 * waits for a random backoff, whose upper bound doubles with each failure in a row up to its maximum.
 */
import type { ControlApi, EntryIdentity, WatchRequest } from '@nettlespur/control.api'
import type { Clock } from '@nettlespur/core.clock'
import type { NettlespurError } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import type { ClusterView } from './clusterView.js'

/** Shortest time between the starts of two polls, so that changes in a burst arrive together. */
const pollSpacingMs = 100
const shortestBackoffMs = 100
const longestBackoffMs = 1000

export interface WatchClusterOptions {
  clock: Clock
  logger: Logger
  control: ControlApi
  view: ClusterView
  entry: EntryIdentity
  /** How long control holds one poll open for a change. */
  waitMs: number
  /** Returns a number in [0, 1); Math.random by default. */
  random?: () => number
}

/** Runs until `signal` is aborted. */
export async function watchCluster(opts: WatchClusterOptions, signal: AbortSignal): Promise<void> {
  const aborted = whenAborted(signal)
  let failures = 0
  while (!signal.aborted) {
    const sentMs = opts.clock.monotonicMs()
    const isApplied = await Promise.race([pollOnce(opts), aborted])
    failures = isApplied ? 0 : failures + 1
    const pauseMs = isApplied
      ? sentMs + pollSpacingMs - opts.clock.monotonicMs()
      : chooseBackoffMs(failures, opts.random ?? Math.random)
    await opts.clock.sleep(Math.max(0, pauseMs), signal)
  }
}

/** Tells control that this entry takes no more work, so that contract changes stop waiting for its confirmation. */
export async function announceLeaving(opts: WatchClusterOptions): Promise<void> {
  const outcome = await opts.control.watch(createWatchRequest(opts, true)).run()
  outcome.ifLeft((error) => {
    logFailure(opts, error)
  })
}

async function pollOnce(opts: WatchClusterOptions): Promise<boolean> {
  const sentMs = opts.clock.monotonicMs()
  const outcome = await opts.control.watch(createWatchRequest(opts, false)).run()
  return outcome.caseOf({
    Left: (error) => {
      logFailure(opts, error)
      return false
    },
    Right: (update) => opts.view.apply(update, sentMs),
  })
}

function createWatchRequest(opts: WatchClusterOptions, leaving: boolean): WatchRequest {
  const waitMs = leaving ? 0 : opts.waitMs
  return { ...opts.view.position, entry: opts.entry, waitMs, leaving }
}

function chooseBackoffMs(failures: number, random: () => number): number {
  const ceilingMs = Math.min(longestBackoffMs, shortestBackoffMs * 2 ** failures)
  return shortestBackoffMs + random() * (ceilingMs - shortestBackoffMs)
}

function whenAborted(signal: AbortSignal): Promise<false> {
  return new Promise((resolve) => {
    signal.addEventListener(
      'abort',
      () => {
        resolve(false)
      },
      { once: true },
    )
  })
}

function logFailure(opts: WatchClusterOptions, error: NettlespurError): void {
  opts.logger.warn({ event: 'view.watch-failed', kind: error.kind, reason: error.message })
}
