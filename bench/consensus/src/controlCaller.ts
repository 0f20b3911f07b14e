/** Changes contracts at the controls of a trial cluster, as an entry does. */
import { readFileSync } from 'node:fs'
import path from 'node:path'
import { RemoteControlApi } from '@nettlespur/control.api'
import { createContract } from '@nettlespur/control.fakes'
import { SystemClock } from '@nettlespur/core.clock'
import { unwrap } from '@nettlespur/core.errors'
import type { TrialCluster } from '@nettlespur/daemons.trial'

const timeoutMs = 5000

export class ControlCaller {
  readonly clock = new SystemClock()
  readonly #api: RemoteControlApi
  readonly #revisions = new Map<string, number>()

  constructor(cluster: TrialCluster) {
    const addresses = cluster.controls.map((control) => control.address)
    const peerKey = readFileSync(path.join(cluster.folder, 'peers.key'), 'utf8').trim()
    this.#api = new RemoteControlApi({ clock: this.clock, addresses, peerKey, timeoutMs })
  }

  /** The leader's id, once there is one. */
  async awaitLeader(): Promise<string> {
    for (;;) {
      const status = await this.#api.getStatus().run()
      const leaderId = status.map((answer) => answer.leaderId).orDefault(undefined)
      if (leaderId !== undefined) return leaderId
    }
  }

  /** The next change of one workspace; gives how long its commit took. */
  async change(workspace: string): Promise<number> {
    const startMs = this.clock.monotonicMs()
    const revision = this.#revisions.get(workspace) ?? 0
    const contract = { ...createContract(workspace), guarantees: [] }
    const changeId = `${workspace}-${revision}`
    await unwrap(this.#api.applyContract({ changeId, expectedRevision: revision, contract }))
    this.#revisions.set(workspace, revision + 1)
    return this.clock.monotonicMs() - startMs
  }

  /** The same, sent again until it is answered. */
  async changeAtLast(workspace: string): Promise<void> {
    for (;;) {
      try {
        await this.change(workspace)
        return
      } catch {
        // Nobody leads yet, or the answer was lost; the change id makes it the same change.
      }
    }
  }

  close(): void {
    this.#api.close()
  }
}
