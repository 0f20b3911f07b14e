/**
 * The entry's in-memory copy of the cluster state: contracts by workspace, upstreams by id, and the live
 * entries. After a restart it is read from control again. A contract is never replaced by an older one.
 */
import type { Announcement, Contract, ContractRecord, UpstreamView } from '@nettlespur/api.schemas'
import type { ClusterUpdate, EntryIdentity } from '@nettlespur/control.api'
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import { BehaviorSubject } from 'rxjs'
import { ContractLease } from './contractLease.js'

export interface ClusterViewOptions {
  clock: Clock
  logger: Logger
}

/** How far this entry has read the cluster state; `epoch` names the leadership at control that the state came from. */
export interface WatchPosition {
  readonly epoch: string
  readonly contractIndex: number
  readonly upstreamVersion: number
}

export class ClusterView {
  readonly contracts = new BehaviorSubject<ReadonlyMap<string, ContractRecord>>(new Map())
  readonly upstreams = new BehaviorSubject<ReadonlyMap<string, UpstreamView>>(new Map())
  readonly entries = new BehaviorSubject<readonly EntryIdentity[]>([])
  readonly lease: ContractLease
  readonly #logger: Logger
  /** Upstreams that announced to this entry that they leave, and that control still reports as ready. */
  readonly #leavingUpstreamIds = new Set<string>()
  #position: WatchPosition = { epoch: '', contractIndex: 0, upstreamVersion: 0 }

  constructor(opts: ClusterViewOptions) {
    this.#logger = opts.logger
    this.lease = new ContractLease(opts.clock)
  }

  get position(): WatchPosition {
    return this.#position
  }

  /** Returns undefined if the workspace has no contract. */
  getContract(workspace: string): Contract | undefined {
    return this.contracts.value.get(workspace)?.contract
  }

  /**
   * Applies the answer to a watch request that was sent at `sentMs`, and renews the contract lease. Returns
   * false and changes nothing if the update is older than the contracts held here.
   */
  apply(update: ClusterUpdate, sentMs: number): boolean {
    if (update.contractIndex < this.#position.contractIndex) {
      this.#logStaleUpdate(update)
      return false
    }
    const isNewEpoch = update.epoch !== this.#position.epoch
    this.#applyContracts(update.contracts)
    this.#applyUpstreams(update.upstreams, isNewEpoch)
    this.entries.next(update.entries)
    const { epoch, contractIndex, upstreamVersion } = update
    this.#position = { epoch, contractIndex, upstreamVersion }
    this.lease.renew(sentMs, update.contractLeaseMs)
    return true
  }

  /** Applies an announcement that an upstream sent to this entry: one that leaves gets no new work from now on. */
  applyAnnouncement(upstreamId: string, announcement: Announcement): void {
    if (announcement.state === 'ready') {
      this.#leavingUpstreamIds.delete(upstreamId)
      return
    }
    this.#leavingUpstreamIds.add(upstreamId)
    const known = this.upstreams.value.get(upstreamId)
    if (known?.state !== 'ready') return
    const upstreams = new Map(this.upstreams.value)
    this.upstreams.next(upstreams.set(upstreamId, { ...known, state: 'leaving' }))
  }

  #applyContracts(records: readonly ContractRecord[]): void {
    if (records.length === 0) return
    const contracts = new Map(this.contracts.value)
    for (const record of records) {
      const { workspace } = record.contract
      const held = contracts.get(workspace)
      if (held !== undefined && record.changeIndex < held.changeIndex) {
        this.#logStaleContract(record, held)
        continue
      }
      contracts.set(workspace, record)
    }
    this.contracts.next(contracts)
  }

  #applyUpstreams(changed: readonly UpstreamView[], isNewEpoch: boolean): void {
    if (changed.length === 0 && !isNewEpoch) return
    const upstreams = new Map(isNewEpoch ? [] : this.upstreams.value)
    for (const upstream of changed) {
      upstreams.set(upstream.upstreamId, this.#withLocalState(upstream))
    }
    this.upstreams.next(upstreams)
  }

  #withLocalState(upstream: UpstreamView): UpstreamView {
    if (!this.#leavingUpstreamIds.has(upstream.upstreamId)) return upstream
    if (upstream.state === 'ready') return { ...upstream, state: 'leaving' }
    this.#leavingUpstreamIds.delete(upstream.upstreamId)
    return upstream
  }

  #logStaleUpdate(update: ClusterUpdate): void {
    this.#logger.warn({
      event: 'view.update-ignored',
      epoch: update.epoch,
      contractIndex: update.contractIndex,
      heldContractIndex: this.#position.contractIndex,
      reason: 'the update is older than the contracts held here',
    })
  }

  #logStaleContract(record: ContractRecord, held: ContractRecord): void {
    this.#logger.warn({
      event: 'view.contract-ignored',
      workspace: record.contract.workspace,
      revision: record.revision,
      changeIndex: record.changeIndex,
      heldRevision: held.revision,
      heldChangeIndex: held.changeIndex,
      reason: 'the contract is older than the one held here',
    })
  }
}
