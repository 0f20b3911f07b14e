/** A small cluster of separate processes on loopback in a temporary folder, removed at the end. */
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { createKey } from '@nettlespur/net.keys'
import { stringify } from 'yaml'
import { DaemonProcess } from './daemonProcess.js'
import { pickLoopbackHost, reserveAddress } from './reserveAddress.js'

const root = path.resolve(import.meta.dirname, '..', '..', '..', '..')
const bins = {
  control: path.join(root, 'daemons', 'control', 'bin', 'nettlespur-control.js'),
  entry: path.join(root, 'daemons', 'entry', 'bin', 'nettlespur-entry.js'),
  upstream: path.join(root, 'daemons', 'upstream', 'bin', 'nettlespur-upstream.js'),
}

export interface TrialClusterOptions {
  controls: number
  entries: number
  upstreams: number
  /** IP number that all listen on; one of loopback that no other test is likely to use by default. */
  host?: string
  /** Merged over each control's settings. */
  controlSettings?: Readonly<Record<string, unknown>>
  /** Merged over each entry's settings. */
  entrySettings?: Readonly<Record<string, unknown>>
  /** Merged over each upstream's settings; may go by its number, from 1. */
  upstreamSettings?:
    Readonly<Record<string, unknown>> | ((index: number) => Readonly<Record<string, unknown>>)
  /** Runs each instance under another program; given its id and kind. */
  under?: (id: string, kind: string) => readonly [string, ...string[]] | undefined
}

/** One process of the cluster, which can be ended and started again on the same address and data. */
export interface TrialInstance {
  readonly id: string
  /** Peer side of a control, caller side of an entry, task side of an upstream. */
  readonly address: string
  readonly settingsFile: string
  readonly dataFolder: string
  process: DaemonProcess
}

interface TrialMember {
  readonly memberId: string
  readonly peerAddress: string
  readonly dataCentre: string
}

export class TrialCluster {
  readonly folder: string
  readonly operatorKey = createKey()
  readonly controls: TrialInstance[] = []
  readonly entries: TrialInstance[] = []
  readonly upstreams: TrialInstance[] = []
  readonly #host: string
  readonly #opts: TrialClusterOptions
  readonly #members: TrialMember[] = []

  private constructor(opts: TrialClusterOptions) {
    this.#opts = opts
    this.#host = opts.host ?? pickLoopbackHost()
    this.folder = mkdtempSync(path.join(tmpdir(), 'nettlespur-trial-'))
    this.#writeKey('operators', this.operatorKey)
    this.#writeKey('peers', createKey())
    this.#writeKey('upstreams', createKey())
  }

  /** Starts everything; resolves when each process listens. */
  static async start(opts: TrialClusterOptions): Promise<TrialCluster> {
    const cluster = new TrialCluster(opts)
    await cluster.#startControls()
    await cluster.#startEntries()
    await cluster.#startUpstreams()
    return cluster
  }

  /** Starts one more control, which waits until an operator adds it as a member. */
  async addControl(id: string): Promise<TrialInstance> {
    const peerAddress = await reserveAddress(this.#host)
    const member = { memberId: id, peerAddress, dataCentre: id.replace('c', 'dc') }
    return this.#startControl(member)
  }

  /** Starts an instance that has ended again, with the same settings. */
  async restart(kind: keyof typeof bins, instance: TrialInstance): Promise<void> {
    instance.process = new DaemonProcess({ bin: bins[kind], settingsFile: instance.settingsFile })
    await instance.process.waitFor(`${kind}.listening`)
  }

  /** What control presents to upstreams. */
  readUpstreamKey(): string {
    return readFileSync(path.join(this.folder, 'upstreams.key'), 'utf8').trim()
  }

  /** Kills all that runs and removes the folder. */
  async close(): Promise<void> {
    const all = [...this.upstreams, ...this.entries, ...this.controls]
    await Promise.all(all.map((instance) => instance.process.kill()))
    rmSync(this.folder, { recursive: true, force: true })
  }

  async #startControls(): Promise<void> {
    for (let index = 1; index <= this.#opts.controls; index++) {
      const peerAddress = await reserveAddress(this.#host)
      this.#members.push({ memberId: `c${index}`, peerAddress, dataCentre: `dc${index}` })
    }
    await Promise.all(this.#members.map((member) => this.#startControl(member)))
    this.controls.sort((left, right) => left.id.localeCompare(right.id))
  }

  async #startControl(member: TrialMember): Promise<TrialInstance> {
    const { memberId, peerAddress, dataCentre } = member
    const settings = {
      instanceId: memberId,
      dataCentre,
      peerAddress,
      dataFolder: `data-${memberId}`,
      members: this.#members,
      keyFiles: { peers: 'peers.key', upstreams: 'upstreams.key' },
      ...this.#opts.controlSettings,
    }
    const control = await this.#launch('control', memberId, peerAddress, settings)
    this.controls.push(control)
    return control
  }

  async #startEntries(): Promise<void> {
    for (let index = 1; index <= this.#opts.entries; index++) {
      const listenAddress = await reserveAddress(this.#host)
      const settings = {
        instanceId: `e${index}`,
        dataCentre: `dc${index}`,
        listenAddress,
        peerAddress: await reserveAddress(this.#host),
        control: this.controls.map((control) => control.address),
        keyFiles: { peers: 'peers.key', operators: 'operators.key', upstreams: 'upstreams.key' },
        ...this.#opts.entrySettings,
      }
      this.entries.push(await this.#launch('entry', `e${index}`, listenAddress, settings))
    }
  }

  async #startUpstreams(): Promise<void> {
    const { upstreamSettings } = this.#opts
    for (let index = 1; index <= this.#opts.upstreams; index++) {
      const listenAddress = await reserveAddress(this.#host)
      const settings = {
        upstreamId: `u${index}`,
        dataCentre: 'dc1',
        rack: 'r1',
        listenAddress,
        entries: this.entries.map((entry) => entry.address),
        keyFile: 'upstreams.key',
        ...(typeof upstreamSettings === 'function' ? upstreamSettings(index) : upstreamSettings),
      }
      this.upstreams.push(await this.#launch('upstream', `u${index}`, listenAddress, settings))
    }
  }

  async #launch(
    kind: keyof typeof bins,
    id: string,
    address: string,
    settings: unknown,
  ): Promise<TrialInstance> {
    const settingsFile = path.join(this.folder, `${id}.yaml`)
    const dataFolder = path.join(this.folder, `data-${id}`)
    mkdirSync(dataFolder, { recursive: true })
    writeFileSync(settingsFile, stringify(settings))
    const under = this.#opts.under?.(id, kind)
    const daemon = new DaemonProcess({ bin: bins[kind], settingsFile, under })
    await daemon.waitFor(`${kind}.listening`)
    return { id, address, settingsFile, dataFolder, process: daemon }
  }

  #writeKey(name: string, key: string): void {
    writeFileSync(path.join(this.folder, `${name}.key`), `${key}\n`, { mode: 0o600 })
  }
}
