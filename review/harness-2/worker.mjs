/**
 * A stand-in worker, after the users' pages: it announces itself, starts, stops and lists runs under a lease, and keeps
 * the highest fencing token that it has seen. The `spec` of a job states how long each of its tasks works, and what it
 * needs of `gpu`, since a start does not tell: {"ms": 3000, "gpu": 1}.
 */
import { Buffer } from 'node:buffer'
import { once } from 'node:events'
import http from 'node:http'
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { call } from './http.mjs'

const heartbeatMs = 1500
const stopMs = 100
const leaseCheckMs = 20
const listedMax = 500

export class Worker {
  isUp = false
  id = ''
  #opts
  #lives = 0
  #life
  #server
  #nextNode = 0
  #isOver = false

  /**
   * `note` gets a line for each start, end and life, `onStart` each run that starts. `guards` is the service's
   * `enforce-capacity`. `announceTo` lists the addresses of `control`.
   */
  constructor(opts) {
    this.#opts = { port: 8080, guards: true, ...opts }
  }

  get name() {
    return this.#opts.name
  }

  async start() {
    await this.#begin()
    void this.#announceWhileUp()
  }

  /** Ends without a word: all that runs is gone. */
  async crash() {
    if (!this.isUp) return
    this.isUp = false
    this.#opts.note(`${this.name} crashes, running ${this.listRunning().join(' ') || 'nothing'}`)
    const { runs, timer } = this.#life
    globalThis.clearInterval(timer)
    for (const { timer: end } of runs.values()) globalThis.clearTimeout(end)
    const closed = once(this.#server, 'close')
    this.#server.close()
    this.#server.closeAllConnections()
    await closed
  }

  /** The next life, with a new id. */
  async restart() {
    await this.crash()
    await this.start()
  }

  async stop() {
    this.#isOver = true
    await this.crash()
  }

  listRunning() {
    return [...(this.#life?.runs.values() ?? [])].map(({ task, attempt }) => `${task}#${attempt}`)
  }

  async #begin() {
    this.#lives += 1
    const random = Math.floor(Math.random() * 0xffffffff).toString(16)
    this.id = `i-${this.name}-${this.#lives}-${random}`
    const life = { runs: new Map(), refused: new Map(), finished: [], ends: 0, acked: 0 }
    Object.assign(life, {
      fence: 0,
      leaseEndMs: 0,
      bornMs: performance.now(),
      sequence: 0,
      wakes: new Set(),
    })
    this.#life = life
    life.timer = globalThis.setInterval(() => {
      this.#endLapsed(life)
    }, leaseCheckMs)
    this.#server = http.createServer((request, response) => {
      this.#answer(life, request, response).catch(() => response.destroy())
    })
    const { host, port, note } = this.#opts
    this.#server.listen({ host, port })
    await once(this.#server, 'listening')
    this.isUp = true
    note(`${this.name} starts as ${this.id}`)
  }

  #clockMs(life) {
    return Math.floor(performance.now() - life.bornMs)
  }

  async #announceWhileUp() {
    const life = this.#life
    const isCurrent = () => !this.#isOver && this.isUp && this.#life === life
    while (isCurrent()) {
      const { announceTo } = this.#opts
      const { status } = await this.#announce(life, announceTo[this.#nextNode % announceTo.length])
      if (!isCurrent()) return
      if (status >= 200 && status < 300) await sleep(heartbeatMs)
      else {
        this.#nextNode += 1
        await sleep(50)
      }
    }
  }

  /** Announces itself to that address now, and resolves to the address that the answer names for later heartbeats. */
  async announceNow(address) {
    const { status, body } = await this.#announce(this.#life, address)
    return status === 200 ? body?.['heartbeat-addr'] : undefined
  }

  #announce(life, address) {
    const { host, port, service, labels, capacity } = this.#opts
    life.sequence += 1
    const heartbeat = {
      service,
      address: `${host}:${port}`,
      zone: 'zone-0',
      version: 'v1',
      slots: 8,
      state: 'ready',
      'cold-remaining-ms': 0,
      capacity,
      labels,
      'clock-ms': this.#clockMs(life),
      seq: life.sequence,
    }
    return call({ address, method: 'PUT', path: `/instances/${this.id}`, json: heartbeat })
  }

  async #answer(life, request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const order = JSON.parse(Buffer.concat(chunks).toString('utf8'))
    const [status, body] =
      request.headers['expect-instance'] === this.id
        ? await this.#carryOut(life, request.url, order)
        : [421, {}]
    response.writeHead(status, { 'content-type': 'application/json' })
    response.end(JSON.stringify({ 'clock-ms': this.#clockMs(life), ...body }))
  }

  async #carryOut(life, url, order) {
    const fence = order['fence-token'] ?? 0
    if (fence < life.fence) return [409, { reason: 'fence' }]
    life.fence = fence
    if (url === '/run-start') return this.#startRun(life, order)
    if (url === '/run-stop') return this.#stopRun(life, order)
    return this.#hold(life, order)
  }

  #extendLease(life, dueMs) {
    if (dueMs === undefined) return
    const latestMs = this.#clockMs(life) + this.#opts.maxHoldMs
    life.leaseEndMs = Math.max(life.leaseEndMs, Math.min(dueMs, latestMs))
  }

  #startRun(life, { task, attempt, spec, 'due-ms': dueMs }) {
    if (!(dueMs > this.#clockMs(life))) return [409, { reason: 'late' }]
    this.#extendLease(life, dueMs)
    const key = `${task}#${attempt}`
    if (life.runs.has(key)) return [200, {}]
    if ((life.refused.get(task) ?? 0) >= attempt) return [409, { reason: 'old' }]
    const { ms, gpu = 0 } = JSON.parse(spec)
    if (this.#opts.guards && !this.#hasRoom(life, gpu)) return [409, { reason: 'room' }]
    const run = { task, attempt, spec, startedMs: this.#clockMs(life), ms, gpu }
    run.timer = globalThis.setTimeout(() => {
      this.#endRun(life, run, 'done')
    }, ms)
    life.runs.set(key, run)
    this.#opts.note(`${this.name} starts ${key}, now running ${this.listRunning().join(' ')}`)
    this.#opts.onStart?.(run)
    return [200, {}]
  }

  #hasRoom(life, gpu) {
    const used = [...life.runs.values()].reduce((sum, run) => sum + run.gpu, 0)
    return used + gpu <= this.#opts.capacity.gpu
  }

  #stopRun(life, { task, attempt }) {
    life.refused.set(task, Math.max(attempt, life.refused.get(task) ?? 0))
    for (const run of life.runs.values()) {
      if (run.task !== task || run.attempt > attempt || run.isStopping) continue
      run.isStopping = true
      globalThis.clearTimeout(run.timer)
      run.timer = globalThis.setTimeout(() => {
        this.#endRun(life, run, 'stopped')
      }, stopMs)
    }
    return [200, {}]
  }

  #endRun(life, run, how) {
    const { task, attempt } = run
    if (!life.runs.delete(`${task}#${attempt}`)) return
    globalThis.clearTimeout(run.timer)
    life.refused.set(task, Math.max(attempt, life.refused.get(task) ?? 0))
    life.ends += 1
    life.finished.push([life.ends, task, attempt, how, ''])
    this.#opts.note(`${this.name} ends ${task}#${attempt} as ${how}`)
    for (const wake of life.wakes) wake()
  }

  #endLapsed(life) {
    if (this.#clockMs(life) < life.leaseEndMs) return
    for (const run of [...life.runs.values()]) this.#endRun(life, run, 'lapsed')
  }

  async #hold(life, { 'due-ms': dueMs, 'ack-cursor': cursor = 0, 'wait-ms': waitMs = 0 }) {
    this.#extendLease(life, dueMs)
    life.acked = Math.max(life.acked, cursor)
    life.finished = life.finished.filter(([number]) => number > life.acked)
    if (waitMs > 0 && life.finished.length === 0) await this.#waitForEnd(life, waitMs)
    const running = [...life.runs.values()].map(({ task, attempt, startedMs, ms }) => {
      const percent = Math.floor((100 * (this.#clockMs(life) - startedMs)) / ms)
      return [task, attempt, '', Math.max(0, Math.min(99, percent))]
    })
    return [200, { running, finished: life.finished.slice(0, listedMax) }]
  }

  #waitForEnd(life, waitMs) {
    return new Promise((resolve) => {
      const done = () => {
        globalThis.clearTimeout(timer)
        life.wakes.delete(done)
        resolve()
      }
      const timer = globalThis.setTimeout(done, waitMs)
      life.wakes.add(done)
    })
  }
}
