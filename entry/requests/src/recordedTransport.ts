/** Adds the outcome of each attempt to the record of its upstream. */
import type { Clock } from '@nettlespur/core.clock'
import { TaskTransport, type TaskOutcome, type TaskRun } from './taskTransport.js'
import type { AttemptResult, UpstreamRecords } from './upstreamRecords.js'

/** A lost attempt is not held against its upstream if its timeout was below this multiple of the typical duration. */
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
  /** Counts an attempt that was given up here, or whose timeout was too short, as refused: it is no evidence. */
  #readResult(task: TaskRun, outcome: TaskOutcome): AttemptResult {
    if (outcome.kind === 'answered' || outcome.kind === 'refused') return outcome.kind
    const typicalMs = this.#opts.records.typicalMs(task.upstreamId) ?? 0
    const hurried = outcome.kind === 'lost' && task.timeoutMs < typicalMs * shortTimeoutFactor
    return task.givenUp.aborted || hurried ? 'refused' : 'failed'
  }
}
