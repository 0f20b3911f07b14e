/**
 * The proposals made here that wait for their outcome. One outlives the leadership it was made in for a
 * while: what becomes committed at its index tells whether it took effect.
 */
import { NettlespurError } from '@nettlespur/core.errors'
import type { LogEntry } from '@nettlespur/storage.log'

interface Waiting<R> {
  readonly term: number
  readonly resolve: (result: R) => void
  readonly reject: (error: NettlespurError) => void
}

export class Proposals<R> {
  readonly #waiting = new Map<number, Waiting<R>>()

  get size(): number {
    return this.#waiting.size
  }

  wait({ index, term }: LogEntry): Promise<R> {
    this.#waiting
      .get(index)
      ?.reject(createUnknown('another entry took its place before its commit'))
    return new Promise<R>((resolve, reject) => {
      this.#waiting.set(index, { term, resolve, reject })
    })
  }

  applied(entry: LogEntry, result: R): void {
    const waiting = this.#waiting.get(entry.index)
    if (waiting === undefined) return
    this.#waiting.delete(entry.index)
    if (waiting.term === entry.term) waiting.resolve(result)
    else waiting.reject(createReplaced())
  }

  /** An entry that is no proposal was committed there. */
  rejectDisplaced(index: number): void {
    this.#settle((at) => at === index, createReplaced())
  }

  /** A snapshot does not tell which entries it stands for. */
  rejectUpTo(index: number): void {
    this.#settle((at) => at <= index, createUnknown('a snapshot took the place of the entry'))
  }

  /** Settles those of terms before `term`. */
  rejectBeforeTerm(term: number, error: NettlespurError): void {
    this.#settle((_, waiting) => waiting.term < term, error)
  }

  /** Settles those whose entries are not on this disk and were sent nowhere else. */
  rejectAfter(index: number, error: NettlespurError): void {
    this.#settle((at) => at > index, error)
  }

  /** Settles all that wait. */
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
  return new NettlespurError('not-leader', 'another leader took over before the change counted')
}
