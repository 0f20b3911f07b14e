/** Notes each attempt's outcome in the record of its upstream. */
import type { Clock } from '@nettlespur/core.clock'
import { TaskTransport, type TaskOutcome, type TaskRun } from './taskTransport.js'
import type { AttemptResult, UpstreamRecords } from './upstreamRecords.js'

/** Below this many times the typical duration, an attempt had too little time. */
const shortTimeoutFactor = 1.5

export interface RecordedTransportOptions {
  clock: Clock
  records: UpstreamRecords
  transport: TaskTransport
}

export class RecordedTransport extends TaskTransport {
  readonly #opts: RecordedTransportOptions

  constructor(opts: RecordedTransportOptions) {
    super()
    this.#opts = opts
  }

  override async run(task: TaskRun): Promise<TaskOutcome> {
    const { clock, records, transport } = this.#opts
    const startedMs = clock.monotonicMs()
    records.noteStart(task.upstreamId)
    let result: AttemptResult = 'failed'
    try {
      const outcome = await transport.run(task)
      result = this.#readResult(task, outcome)
      return outcome
    } finally {
      records.noteEnd(task.upstreamId, { result, tookMs: clock.monotonicMs() - startedMs })
    }
  }
  /** An attempt given up here, or given too little time, says as little of its upstream as a refusal. */
  #readResult(task: TaskRun, outcome: TaskOutcome): AttemptResult {
    if (outcome.kind === 'answered' || outcome.kind === 'refused') return outcome.kind
    const typicalMs = this.#opts.records.typicalMs(task.upstreamId) ?? 0
    const hurried = outcome.kind === 'lost' && task.timeoutMs < typicalMs * shortTimeoutFactor
    return task.givenUp.aborted || hurried ? 'refused' : 'failed'
  }
}
