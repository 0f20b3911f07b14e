/** Runs one stand-in upstream as its settings say, until its life-cycle manager stops it. */
import { SystemClock } from '@nettlespur/core.clock'
import { tryAsync, type NettlespurError } from '@nettlespur/core.errors'
import { LifecycleManager } from '@nettlespur/core.lifecycle'
import { createLogger, type Logger } from '@nettlespur/core.logger'
import { readKeyFile } from '@nettlespur/net.keys'
import type { UpstreamSettings } from '@nettlespur/settings.schemas'
import { startStandInUpstream } from '@nettlespur/upstream.standIn'
import { EitherAsync, Right, type Either } from 'purify-ts'

const drainDeadlineMs = 30_000

export interface UpstreamDaemon {
  /** `IP:PORT` as bound. */
  readonly address: string
  readonly lifecycle: LifecycleManager
}

/** Errors: `invalid-settings` for a key file, `internal` where the address cannot be bound. */
export function startUpstreamDaemon(
  settings: UpstreamSettings,
): EitherAsync<NettlespurError, UpstreamDaemon> {
  return EitherAsync.liftEither(readKey(settings)).chain((key) =>
    tryAsync(() => start(settings, key)),
  )
}

async function start(settings: UpstreamSettings, key: string | undefined): Promise<UpstreamDaemon> {
  const clock = new SystemClock()
  const { upstreamId, log } = settings
  const logger = createLogger({ name: 'upstream', instanceId: upstreamId, level: log.level })
  const lifecycle = createLifecycle(clock, logger)
  const standIn = await startStandInUpstream({ ...settings, clock, logger, key })
  lifecycle.own('stand-in upstream', () => standIn.stop())
  logger.info({ event: 'upstream.listening', address: standIn.address })
  return { address: standIn.address, lifecycle }
}

function createLifecycle(clock: SystemClock, logger: Logger): LifecycleManager {
  return new LifecycleManager({
    clock,
    drainDeadlineMs,
    onFault: ({ name, cause }) => {
      logger.error({ event: 'upstream.stop-failed', step: name, cause: String(cause) })
    },
  })
}

function readKey(settings: UpstreamSettings): Either<NettlespurError, string | undefined> {
  return settings.keyFile === undefined
    ? Right(undefined)
    : readKeyFile(settings.keyFile).map(([first]) => first)
}
