/** Placed or ended runs, grouped by a key of theirs, so that a group is found without a scan. */
import { runKey } from '@nettlespur/batch.model'
import type { Placement } from './command.js'

const noRuns: ReadonlyMap<string, Placement> = new Map()

export class RunTable {
  readonly #groups = new Map<string, Map<string, Placement>>()

  /** The keys of groups that hold at least one run. */
  get keys(): IterableIterator<string> {
    return this.#groups.keys()
  }

  /** The runs of a group, by run key. */
  get(key: string): ReadonlyMap<string, Placement> {
    return this.#groups.get(key) ?? noRuns
  }

  add(key: string, run: Placement): void {
    const runs = this.#groups.get(key) ?? new Map<string, Placement>()
    runs.set(runKey(run), run)
    this.#groups.set(key, runs)
  }

  remove(key: string, run: Placement): void {
    const runs = this.#groups.get(key)
    runs?.delete(runKey(run))
    if (runs?.size === 0) this.#groups.delete(key)
  }
}
