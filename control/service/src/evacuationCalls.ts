/** Handles the operators' orders to evacuate data centres. */
import type { Evacuation, EvacuationChange } from '@nettlespur/core.evacuations'
import { readEvacuation } from '@nettlespur/control.state'
import { unwrap } from '@nettlespur/core.errors'
import { EitherAsync } from 'purify-ts'
import type { LeaderSession } from './leaderSession.js'
import type { ControlNodeOptions } from './nodeOptions.js'

export class EvacuationCalls {
  readonly #opts: ControlNodeOptions
  readonly #session: LeaderSession

  constructor(opts: ControlNodeOptions, session: LeaderSession) {
    this.#opts = opts
    this.#session = session
  }

  /** Lists the data centres of all upstreams, members and orders by name. */
  list(): Promise<Evacuation[]> {
    const { holder, log } = this.#opts
    const places = [...log.describe().members, ...this.#session.upstreams.list()]
    const evacuations = holder.state.listEvacuations(places.map(({ dataCentre }) => dataCentre))
    const byName = evacuations.sort((one, other) => (one.dataCentre < other.dataCentre ? -1 : 1))
    return Promise.resolve(byName)
  }

  async change(change: EvacuationChange): Promise<null> {
    const { log, clock, logger, metrics } = this.#opts
    const at = clock.now().toISOString()
    const committed = log
      .propose({ type: 'evacuation.change', at, change })
      .chain((result) => EitherAsync.liftEither(readEvacuation(result)))
    const { dataCentre, isInForce, revision } = await unwrap(committed)
    const upstreams = this.#session.upstreams
      .list()
      .filter((view) => view.dataCentre === dataCentre).length
    metrics.count('evacuation_orders_total')
    logger.info({ event: 'evacuation.accepted', dataCentre, isInForce, revision, upstreams })
    return null
  }
}
