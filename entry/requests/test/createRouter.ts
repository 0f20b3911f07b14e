import type { Contract, UpstreamView } from '@nettlespur/api.schemas'
import type { Clock } from '@nettlespur/core.clock'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import { createContract, RecordingLogger } from '@nettlespur/entry.fakes'
import { ClusterView } from '@nettlespur/entry.view'
import {
  EqualShareQuotas,
  EqualShareSlots,
  LocalRequestRouter,
  MostFreePicker,
  RequestQueue,
  type ShortAnswer,
  type ShortRequest,
  type TaskTransport,
} from '../src/index.js'

export interface RouterSetup {
  clock: Clock
  transport: TaskTransport
  upstreams: readonly UpstreamView[]
  limits?: Partial<ReturnType<typeof createContract>['limits']>
  /** Contracts besides that of `thapa`. */
  others?: readonly Contract[]
}

/** Creates a router with the contract of workspace `thapa` in force. */
export function createRouter(setup: RouterSetup) {
  const { clock, transport } = setup
  const logger = new RecordingLogger()
  const view = new ClusterView({ clock, logger })
  const base = createContract()
  const contract = { ...base, limits: { ...base.limits, ...setup.limits } }
  const update = {
    epoch: 'first',
    contractIndex: 1,
    contracts: [contract, ...(setup.others ?? [])].map((each) => {
      return { contract: each, revision: 1, changeIndex: 1 }
    }),
    upstreamVersion: 1,
    upstreams: [...setup.upstreams],
    entries: [],
    contractLeaseMs: 600_000,
  }
  view.apply(update, clock.monotonicMs())
  const quotas = new EqualShareQuotas({ view, entryId: 'entry-1' })
  const slots = new EqualShareSlots(view)
  const queue = new RequestQueue({ clock, view, quotas, slots, picker: new MostFreePicker() })
  const metrics = new MetricsRegistry()
  const router = new LocalRequestRouter({ clock, logger, metrics, view, quotas, queue, transport })
  return { router, queue, view, logger, update }
}

export function createRequest(clock: Clock, change: Partial<ShortRequest> = {}): ShortRequest {
  return {
    workspace: 'thapa',
    key: undefined,
    repeatable: false,
    deadlineAtMs: clock.monotonicMs() + 30_000,
    contentType: 'text/plain',
    body: Buffer.from('span 7'),
    callerGone: new AbortController().signal,
    ...change,
  }
}

/** Returns the text of a collected answer. Throws if the answer is a stream. */
export function readText(answer: ShortAnswer): string {
  if (Buffer.isBuffer(answer.body)) return answer.body.toString('utf8')
  throw new Error('the answer is a stream')
}
