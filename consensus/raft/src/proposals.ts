/**
 * The proposals made on this member whose outcome is pending. A proposal is kept for a while after its leadership ends:
 * the entry that is committed at its index shows whether it took effect.
 */
import { NettlespurError } from '@nettlespur/core.errors'
import type { LogEntry } from '@nettlespur/storage.log'
import type { PreparedCommand } from './stateMachine.js'

interface Waiting<R> {
  readonly term: number
  readonly prepared: PreparedCommand<R>
  readonly resolve: (result: R) => void
  readonly reject: (error: NettlespurError) => void
}

export class Proposals<R> {
  readonly #waiting = new Map<number, Waiting<R>>()

  get size(): number {
    return this.#waiting.size
  }

  /** Waits for the outcome of the entry, whose command `prepared` applies. */
  wait({ index, term }: LogEntry, prepared: PreparedCommand<R>): Promise<R> {
    this.#waiting
      .get(index)
      ?.reject(createUnknown('another entry replaced it before it was committed'))
    return new Promise<R>((resolve, reject) => {
      this.#waiting.set(index, { term, prepared, resolve, reject })
    })
  }

  /** Returns what applies the command of the entry; undefined unless this very entry was proposed here. */
  findPrepared({ index, term }: LogEntry): PreparedCommand<R> | undefined {
    const waiting = this.#waiting.get(index)
    return waiting?.term === term ? waiting.prepared : undefined
  }

  applied(entry: LogEntry, result: R): void {
    const waiting = this.#waiting.get(entry.index)
    if (waiting === undefined) return
    this.#waiting.delete(entry.index)
    if (waiting.term === entry.term) waiting.resolve(result)
    else waiting.reject(createReplaced())
  }

  /** Rejects the proposal at `index`, where an entry that is not a command was committed. */
  rejectDisplaced(index: number): void {
    this.#settle((at) => at === index, createReplaced())
  }

  /** Rejects the proposals up to `index` as unknown: a snapshot does not show which entries it includes. */
  rejectUpTo(index: number): void {
    this.#settle((at) => at <= index, createUnknown('a snapshot replaced the entry'))
  }

  /** Rejects the proposals of terms before `term`. */
  rejectBeforeTerm(term: number, error: NettlespurError): void {
    this.#settle((_, waiting) => waiting.term < term, error)
  }

  /** Rejects the proposals after `index`. The caller ensures that no member has their entries on disk. */
  rejectAfter(index: number, error: NettlespurError): void {
    this.#settle((at) => at > index, error)
  }

  /** Rejects all pending proposals. */
  close(error: NettlespurError): void {
    this.#settle(() => true, error)
  }

  #settle(selects: (index: number, waiting: Waiting<R>) => boolean, error: NettlespurError): void {
    for (const [index, waiting] of this.#waiting) {
      if (!selects(index, waiting)) continue
      this.#waiting.delete(index)
      waiting.reject(error)
    }
  }
}

export function createUnknown(reason: string): NettlespurError {
  return new NettlespurError('outcome-unknown', `the change may have taken effect: ${reason}`, {
    hint: 'send it again under the same id: it takes effect once',
  })
}

function createReplaced(): NettlespurError {
  return new NettlespurError(
    'not-leader',
    'another leader took over before the change was committed',
  )
}
