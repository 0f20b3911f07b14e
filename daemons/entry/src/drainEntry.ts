/**
 * A planned stop of the listening side. The balancer is told first, while work is still taken; then new
 * work is refused and what is in progress ends. What is left shortly before the deadline is answered
 * honestly rather than cut.
 */
import type { EntryContext } from '@nettlespur/entry.service'
import type { HttpServer } from '@nettlespur/net.server'

/** Kept back from the deadline for giving the last answers. */
const lastAnswersMs = 500

export interface DrainEntryOptions {
  context: EntryContext
  server: HttpServer
  /** How long readiness is down before new work is refused. */
  unreadyNoticeMs: number
  /** Over the whole stop. */
  drainDeadlineMs: number
}

export async function drainEntry(opts: DrainEntryOptions): Promise<void> {
  const { clock, drain, logger, router } = opts.context
  const abandonAtMs = clock.monotonicMs() + Math.max(0, opts.drainDeadlineMs - lastAnswersMs)
  drain.phase.next('unready')
  opts.server.retire()
  logger.info({ event: 'entry.draining', inFlight: opts.server.inFlight() })
  await clock.sleep(Math.min(opts.unreadyNoticeMs, opts.drainDeadlineMs / 2))
  drain.phase.next('refusing')
  const late = clock.setTimer(abandonAtMs - clock.monotonicMs(), () => {
    logger.warn({ event: 'entry.requests-abandoned', inFlight: opts.server.inFlight() })
    router.abandonAll()
  })
  await opts.server.drain()
  late.cancel()
  logger.info({ event: 'entry.drained' })
}
