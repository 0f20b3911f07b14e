/** Removes upstreams whose processes are gone from the leader's memory and from the replicated state. */
import type { Replacement } from '@nettlespur/batch.sessions'
import type { BatchState } from '@nettlespur/batch.state'
import type { TryPropose } from './proposer.js'
import type { SilenceWatch } from './silenceWatch.js'
import type { UpstreamRoster } from './upstreamRoster.js'

export interface GoneUpstreamsOptions {
  roster: Pick<UpstreamRoster, 'forget' | 'replace' | 'succession'>
  silences: Pick<SilenceWatch, 'noteAlive' | 'noteGone' | 'commitFindings'>
  getState: () => BatchState
  tryPropose: TryPropose
}

export class GoneUpstreams {
  readonly #opts: GoneUpstreamsOptions

  constructor(opts: GoneUpstreamsOptions) {
    this.#opts = opts
  }

  /** See `SessionHost`. */
  noteReplaced(replacement: Replacement): void {
    const { roster, silences } = this.#opts
    const { upstreamId, announcedId } = replacement.target
    // Of a process that did not say when it was born, the successor may be the same one, which now does.
    if (announcedId === undefined) silences.noteAlive(upstreamId)
    else silences.noteGone(upstreamId)
    roster.replace(replacement)
    this.removeSettled()
  }

  /** See `SessionHost`. */
  noteGone(upstreamId: string): void {
    const { roster, silences, getState } = this.#opts
    roster.forget(upstreamId)
    silences.noteGone(upstreamId)
    if (getState().upstreams.get(upstreamId)?.hasLeft === true) return
    void this.#remove(upstreamId)
  }

  /** Removes replaced processes of which no run is placed any more. */
  removeSettled(): void {
    const { roster, getState } = this.#opts
    for (const upstreamId of [...roster.succession.replacedIds]) {
      if (getState().placements.getByUpstream(upstreamId).size === 0) this.noteGone(upstreamId)
    }
  }

  /** Settles its silences first: the next leader would take one that is removed for one that has announced its leave. */
  async #remove(upstreamId: string): Promise<void> {
    const { silences, tryPropose } = this.#opts
    if (!(await silences.commitFindings(upstreamId))) return
    await tryPropose({ type: 'remove-upstream', upstreamId })
  }
}
