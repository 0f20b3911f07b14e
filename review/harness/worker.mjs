/**
 * A worker after PROTOCOL.md: leases on its own clock, fencing tokens, room, attempts, and ends that are listed until they
 * are acknowledged. How long a task works is looked up by its job.
 */
import http from 'node:http'
import { performance } from 'node:perf_hooks'
import { call, sleep } from './http.mjs'
import { heartbeatMs } from './system.mjs'

const stopMs = 200
const holdMaxMs = 10_000
const waitMaxMs = 2000
const endsListed = 500

export class Worker {
  id
  runs = []
  isUp = true
  /** Answers each start with 503, as an unhealthy worker may; it does nothing then. */
  isUnhealthy = false
  state = 'ready'
  drainUntilMs = undefined
  #opts
  #server
  #startMs = performance.now()
  #sequence = 0
  #fence = 0
  #dueMs = 0
  #held = new Map()
  #closed = new Map()
  #ends = []
  #endCount = 0
  #waiters = new Set()
  #leaseTimer
  #next = 0
  #hinted
  #agent = new http.Agent({ keepAlive: true, maxSockets: 1 })

  /** `jobs` maps a job's id to `{ workMs, gpu, cpu }` of each of its tasks; `onRun` is told of each run that starts. */
  static async open(opts) {
    const worker = new Worker()
    worker.#opts = opts
    worker.id = opts.id
    worker.#server = http.createServer((request, response) => {
      worker.#serve(request, response).catch(() => response.destroy())
    })
    await new Promise((resolve) => {
      worker.#server.listen({ host: '127.0.0.1', port: 0 }, resolve)
    })
    return worker
  }

  get localAddress() {
    return `127.0.0.1:${this.#server.address().port}`
  }

  get clockMs() {
    return Math.floor(performance.now() - this.#startMs) + 1000
  }

  /** Announces itself at one control instance after the other until it is closed. `address` is told to callers. */
  async announceAt(address, controls) {
    while (this.isUp) {
      await this.announceOnce(address, controls)
      await sleep(heartbeatMs)
    }
  }

  async announceOnce(address, controls) {
    for (let tries = 0; tries < controls.length && this.isUp; tries++) {
      const answer = await this.#tell('PUT', controls, this.#describe(address))
      if (answer?.status === 200) {
        this.#hinted = JSON.parse(answer.body)['heartbeat-addr']
        return true
      }
      this.#hinted = undefined
      this.#next += 1
    }
    return false
  }

  /** Says that it leaves. Resolves to whether that was acknowledged. */
  async leave(controls) {
    const answer = await this.#tell('DELETE', controls)
    this.#opts.record.note(`${this.id}: DELETE: ${answer?.status ?? 'no answer'}`)
    if (answer === undefined) {
      this.#hinted = undefined
      this.#next += 1
    }
    return answer !== undefined && answer.status < 300
  }

  /** Ends with all that runs there. */
  end() {
    this.isUp = false
    globalThis.clearTimeout(this.#leaseTimer)
    for (const held of [...this.#held.values()]) this.#finish(held, 'lost')
    for (const wake of this.#waiters) wake()
    this.#agent.destroy()
    this.#server.closeAllConnections()
    this.#server.close()
  }

  #tell(method, controls, json) {
    const { uplink } = this.#opts
    const address = uplink ?? this.#hinted ?? controls[this.#next % controls.length].address
    return call({
      address,
      method,
      path: `/instances/${this.id}`,
      json,
      timeoutMs: 1000,
      agent: this.#agent,
    })
  }

  #describe(address) {
    this.#sequence += 1
    const { capacity, labels, zone = 'centre-a' } = this.#opts
    const remainingMs =
      this.drainUntilMs === undefined ? undefined : this.drainUntilMs - performance.now()
    return {
      service: 'pool',
      address,
      zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      'cold-remaining-ms': 0,
      capacity,
      labels,
      'clock-ms': this.clockMs,
      seq: this.#sequence,
      ...(remainingMs === undefined
        ? {}
        : { 'drain-remaining-ms': Math.max(0, Math.round(remainingMs)) }),
    }
  }

  async #serve(request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const text = globalThis.Buffer.concat(chunks).toString('utf8')
    const [status, body] = await this.#answer(request, text === '' ? {} : JSON.parse(text))
    if (!this.isUp) return response.destroy()
    response.writeHead(status, { 'content-type': 'application/json' })
    return response.end(JSON.stringify(body))
  }

  async #answer({ method, url, headers }, order) {
    if (method === 'GET') return [200, {}]
    if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== this.id)
      return [421, {}]
    if (url === '/hold') return this.#hold(order)
    if (url === '/run-start') return this.#start(order)
    if (url === '/run-stop') return this.#stop(order)
    return [404, {}]
  }

  #refuse(reason) {
    return [409, { 'clock-ms': this.clockMs, reason }]
  }

  #start(order) {
    const { task, attempt, 'due-ms': dueMs, 'fence-token': fence = 0 } = order
    const { record, jobs, onRun } = this.#opts
    if (this.isUnhealthy) {
      record.note(`${this.id}: start of ${task} run ${attempt}: 503`)
      return [503, { 'clock-ms': this.clockMs }]
    }
    if (fence < this.#fence) return this.#refuse('fence')
    this.#fence = fence
    if (this.#held.has(`${task}#${attempt}`)) return [200, { 'clock-ms': this.clockMs }]
    if (dueMs <= this.clockMs) return this.#refuse('late')
    this.#extend(dueMs)
    if ((this.#closed.get(task) ?? 0) >= attempt) return this.#refuse('old')
    const needs = jobs.get(task.slice(0, task.indexOf('.')))
    if (!this.#hasRoom(needs)) return this.#refuse('room')
    const startedMs = record.nowMs
    const { gpu, cpu, workMs } = needs
    const held = { task, attempt, gpu, cpu, startedMs, workMs }
    this.#held.set(`${task}#${attempt}`, held)
    held.timer = globalThis.setTimeout(() => this.#finish(held, 'done'), needs.workMs)
    held.run = { task, attempt, worker: this.id, startedMs, endedMs: undefined, how: undefined }
    this.runs.push(held.run)
    record.note(`${this.id}: ${task} run ${attempt} started`)
    onRun?.(held.run, order)
    return [200, { 'clock-ms': this.clockMs }]
  }

  #hasRoom({ gpu, cpu }) {
    const { capacity } = this.#opts
    const held = [...this.#held.values()]
    const used = (pick) => held.reduce((sum, run) => sum + pick(run), 0)
    return (
      used((run) => run.gpu) + gpu <= capacity.gpu && used((run) => run.cpu) + cpu <= capacity.cpu
    )
  }

  #stop({ task, attempt, 'fence-token': fence = 0 }) {
    if (fence < this.#fence) return this.#refuse('fence')
    this.#fence = fence
    this.#closed.set(task, Math.max(attempt, this.#closed.get(task) ?? 0))
    const held = this.#held.get(`${task}#${attempt}`)
    if (held !== undefined && !held.isStopping) {
      held.isStopping = true
      globalThis.setTimeout(() => this.#finish(held, 'stopped'), stopMs)
    }
    return [200, { 'clock-ms': this.clockMs }]
  }

  async #hold(order) {
    const { 'fence-token': fence = 0, 'ack-cursor': cursor = 0 } = order
    if (fence < this.#fence) return this.#refuse('fence')
    this.#fence = fence
    if (order['due-ms'] !== undefined) this.#extend(order['due-ms'])
    for (const end of this.#ends) {
      // An end counts as taken note of unless the lease lapsed between the two.
      if (end.row[0] <= cursor) end.run.isNoted = !end.hasLapsed
    }
    this.#ends = this.#ends.filter(({ row: [number] }) => number > cursor)
    const waitMs = Math.min(waitMaxMs, order['wait-ms'] ?? 0)
    if (waitMs > 0 && this.#ends.length === 0) await this.#waitForEnd(waitMs)
    const running = [...this.#held.values()].map(({ task, attempt, startedMs, workMs }) => {
      const share = Math.min(1, (this.#opts.record.nowMs - startedMs) / workMs)
      return [task, attempt, '', Math.floor(share * 100), 0]
    })
    const finished = this.#ends.slice(0, endsListed).map(({ row }) => row)
    return [200, { 'clock-ms': this.clockMs, running, finished }]
  }

  #waitForEnd(waitMs) {
    return new Promise((resolve) => {
      const wake = () => {
        globalThis.clearTimeout(timer)
        this.#waiters.delete(wake)
        resolve()
      }
      const timer = globalThis.setTimeout(wake, waitMs)
      this.#waiters.add(wake)
    })
  }

  #extend(dueMs) {
    this.#dueMs = Math.max(this.#dueMs, Math.min(dueMs, this.clockMs + holdMaxMs))
    globalThis.clearTimeout(this.#leaseTimer)
    this.#leaseTimer = globalThis.setTimeout(() => {
      for (const end of this.#ends) end.hasLapsed = true
      for (const held of [...this.#held.values()]) this.#finish(held, 'lapsed')
    }, this.#dueMs - this.clockMs)
  }

  #finish(held, how) {
    const { task, attempt, run } = held
    if (!this.#held.delete(`${task}#${attempt}`)) return
    globalThis.clearTimeout(held.timer)
    run.endedMs = this.#opts.record.nowMs
    run.how = how
    this.#opts.record.note(`${this.id}: ${task} run ${attempt} ended: ${how}`)
    if (how === 'lost') return
    this.#closed.set(task, Math.max(attempt, this.#closed.get(task) ?? 0))
    this.#endCount += 1
    this.#ends.push({ row: [this.#endCount, task, attempt, how, ''], run, hasLapsed: false })
    for (const wake of [...this.#waiters]) wake()
  }
}
