/** A small deployment of the project's own programs, as separate processes on loopback addresses. */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import {
  closeSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { areFree, call } from './http.mjs'
import { fillIn } from './template.mjs'

const root = path.resolve(import.meta.dirname, '../..')
const ports = { peer: 7000, control: 8526, front: 8521, ready: 8523, metrics: 9464 }
const heartbeatMs = 1500
const operatorTimeoutMs = 1000

/** Reads what a role of the deploy file runs, and its template. */
function readRole(name) {
  const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8')
  const section = text.split(`[roles.${name}]`)[1]?.split('\n[')[0] ?? ''
  const field = (key) => new RegExp(`^${key} = "(.*)"$`, 'm').exec(section)?.[1] ?? ''
  return {
    words: field('run').split(' '),
    template: readFileSync(path.join(root, field('template')), 'utf8'),
  }
}

class SystemProcess {
  #child
  #log
  constructor({ name, words, settingsFile, logFile }) {
    Object.assign(this, { name, words, settingsFile, logFile })
  }

  get isRunning() {
    return this.#child?.exitCode === null && this.#child.signalCode === null
  }

  start() {
    const [program, ...args] = this.words
    this.#log ??= openSync(this.logFile, 'a')
    const { PATH, HOME, LANG } = process.env
    this.#child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: root,
      env: { PATH, HOME, LANG, NETTLESPUR_SETTINGS: this.settingsFile },
      stdio: ['ignore', this.#log, this.#log],
    })
  }

  signal(name) {
    if (this.isRunning) this.#child.kill(name)
  }

  async end(signal = 'SIGKILL') {
    if (!this.isRunning) return
    const ended = once(this.#child, 'exit')
    this.#child.kill(signal)
    await ended
  }

  close() {
    if (this.#log !== undefined) closeSync(this.#log)
    this.#log = undefined
  }
}

export class Deployment {
  controls = []
  entries = []
  #folder = mkdtempSync(path.join(os.tmpdir(), 'nettlespur-review-'))
  #block = ''

  /** `maxHoldMs` is the bound `max-hold-ms` of the pages. */
  static async start({ controls = 3, entries = 1, maxHoldMs = 10_000 } = {}) {
    const deployment = new Deployment()
    await deployment.#pickAddresses()
    deployment.#create({ controls, entries, maxHoldMs })
    for (const one of deployment.processes) one.start()
    return deployment
  }

  get processes() {
    return [...this.controls, ...this.entries]
  }

  get controlAddresses() {
    return this.controls.map((_, at) => `${this.host('control', at)}:${ports.control}`)
  }

  get entryAddresses() {
    return this.entries.map((_, at) => `${this.host('entry', at)}:${ports.front}`)
  }

  host(kind, at) {
    return `${this.#block}.${{ control: 11, entry: 21, worker: 41 }[kind] + at}`
  }

  async stop() {
    await Promise.all(this.processes.map((one) => one.end()))
    for (const one of this.processes) one.close()
    if (process.env.KEEP_LOGS === undefined) rmSync(this.#folder, { recursive: true, force: true })
    else process.stdout.write(`logs in ${this.#folder}\n`)
  }

  /** Kills all processes at once and starts them again, as after a loss of power of all machines. */
  async restartAll() {
    await Promise.all(this.processes.map((one) => one.end()))
    for (const one of this.processes) one.start()
  }

  /** As the operator: resent to one control after the other until there is a clear answer, or the time is up. */
  async operate({ method, path: target, json, text, forMs = 20_000 }) {
    const endMs = Date.now() + forMs
    let last = { status: 0 }
    for (let tries = 0; Date.now() < endMs; tries++) {
      const addresses = this.controlAddresses
      const address = addresses[tries % addresses.length]
      const order = { address, method, path: target, json, text }
      last = await call({ ...order, timeoutMs: operatorTimeoutMs })
      if (last.status >= 200 && last.status < 500) return last
      await sleep(200)
    }
    return last
  }

  /** As a client: one call to an entry, with the deadline that clients give; it leaves after `timeoutMs`. */
  call({ method, path: target, host, key, json, at = 0, deadlineMs = 3000, timeoutMs }) {
    return call({
      address: this.entryAddresses[at],
      method,
      path: target,
      json,
      timeoutMs: timeoutMs ?? deadlineMs + 200,
      headers: { host, authorization: `Bearer ${key}`, 'deadline-ms': String(deadlineMs) },
    })
  }

  async #pickAddresses() {
    for (;;) {
      const draw = (from, to) => from + Math.floor(Math.random() * (to - from))
      this.#block = `127.${draw(20, 250)}.${draw(1, 250)}`
      const hosts = [this.host('control', 0), this.host('entry', 0), this.host('worker', 0)]
      const free = await Promise.all(hosts.map((host) => areFree(host, Object.values(ports))))
      if (!free.includes(false)) return
    }
  }

  #create({ controls, entries, maxHoldMs }) {
    const seeds = [0, 1, 2]
      .slice(0, controls)
      .map((at) => `${this.host('control', at)}:${ports.control}`)
    const create = (kind, at) => {
      const name = `${kind}-${at}`
      const ip = this.host(kind, at)
      const dataDir = path.join(this.#folder, `${name}-data`)
      mkdirSync(dataDir)
      const { words, template } = readRole(kind)
      const settings = fillIn(template, {
        'node-name': name,
        ip,
        zone: `zone-${at % 3}`,
        zones: { 'zone-0': 'region', 'zone-1': 'region', 'zone-2': 'region' },
        seeds,
        'internal-ports': [ports.peer, ports.peer + 15],
        listen: {
          control: `${ip}:${ports.control}`,
          front: `${ip}:${ports.front}`,
          ready: `${ip}:${ports.ready}`,
        },
        'data-dir': dataDir,
        bootstrap: true,
        'heartbeat-ms': heartbeatMs,
        bounds: { 'max-hold-ms': maxHoldMs },
      })
      const settingsFile = path.join(this.#folder, `${name}.yaml`)
      writeFileSync(settingsFile, settings)
      const logFile = path.join(this.#folder, `${name}.log`)
      return new SystemProcess({ name, words, settingsFile, logFile })
    }
    for (let at = 0; at < controls; at++) this.controls.push(create('control', at))
    for (let at = 0; at < entries; at++) this.entries.push(create('entry', at))
  }
}
