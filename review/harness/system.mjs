/** The programs under test as separate processes, on loopback addresses, with the settings of the deploy templates. */
import { spawn } from 'node:child_process'
import { mkdtempSync, openSync, closeSync, rmSync, writeFileSync } from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { fileURLToPath, URL } from 'node:url'
import { call, sleep } from './http.mjs'
import { findPorts } from './ports.mjs'

const root = fileURLToPath(new URL('../../', import.meta.url))
const controlHosts = ['127.0.0.61', '127.0.0.62', '127.0.0.63', '127.0.0.64', '127.0.0.65']
const entryHosts = ['127.0.0.71', '127.0.0.72']
const dataCentres = ['centre-a', 'centre-b', 'centre-c']

export const callerHost = 'review.example'
export const heartbeatMs = 1500

export class System {
  controls = []
  entries = []
  isStopping = false
  #record
  #folder
  #configVersion = 0

  static async start(record) {
    const system = new System()
    system.#record = record
    system.#folder = mkdtempSync(path.join(os.tmpdir(), 'nettlespur-review-'))
    const [serve, peer, metrics, ready] = await findPorts([...controlHosts, ...entryHosts], 4)
    const seeds = controlHosts.slice(0, 3).map((host) => `${host}:${serve}`)
    controlHosts.forEach((host, at) => {
      const dataCentre = dataCentres[at % dataCentres.length]
      const settings = {
        instanceId: `control-${at}`,
        dataCentre,
        dataCentres,
        seeds,
        peerPort: peer,
        metricsAddress: `${host}:${metrics}`,
        drainDeadlineMs: 5500,
        controlAddress: `${host}:${serve}`,
        dataFolder: path.join(system.#folder, `control-${at}`),
        founds: true,
        announceEveryMs: heartbeatMs,
        leaseMsMax: 10_000,
        refusedConnections: 'gone',
        keepEndedMs: 180_000,
        upstreamSpeeds: 'learn',
        relayFromUpstreams: 600,
      }
      const address = settings.controlAddress
      system.controls.push(system.#create('control', settings, { address, dataCentre, host, peer }))
    })
    entryHosts.forEach((host, at) => {
      const settings = {
        instanceId: `entry-${at}`,
        dataCentre: dataCentres[at % dataCentres.length],
        seeds,
        peerPort: peer,
        metricsAddress: `${host}:${metrics}`,
        drainDeadlineMs: 5700,
        callerAddress: `${host}:${serve}`,
        readinessAddress: `${host}:${ready}`,
      }
      system.entries.push(system.#create('entry', settings, { address: settings.callerAddress }))
    })
    for (const process of [...system.controls, ...system.entries]) system.#spawn(process)
    return system
  }

  /** Sends the configuration to one control instance after the other until it is acknowledged. */
  async configure(config) {
    this.#configVersion += 1
    const json = { version: this.#configVersion, ...config }
    for (let tries = 0; tries < 100; tries++) {
      const { address } = this.controls[tries % this.controls.length]
      const answer = await call({ address, method: 'PUT', path: '/config', json, timeoutMs: 1000 })
      if (answer?.status === 200) {
        this.#record.note(`operator: configuration ${json.version} acknowledged`)
        return
      }
      await sleep(200)
    }
    throw new Error('the configuration was never acknowledged')
  }

  /** Submits a job, at one entry after the other, until it is accepted. Resolves to whether it was. */
  async submit(jobId, body, { prefix = '/q/', key, tries = 4 } = {}) {
    for (let at = 0; at < tries; at++) {
      const answer = await this.ask('POST', `${prefix}${jobId}`, { json: body, key, at })
      if (answer?.status === 200) return true
      await sleep(300)
    }
    return false
  }

  async ask(method, path, { json, key, at = 0 } = {}) {
    const { address, name } = this.entries[at % this.entries.length]
    const headers = {
      host: callerHost,
      'deadline-ms': '3000',
      ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
    }
    const answer = await call({ address, method, path, headers, json, timeoutMs: 3000 })
    const told = answer === undefined ? 'no answer' : `${answer.status} ${answer.body}`
    this.#record.note(`client: ${method} ${path} at ${name}: ${told}`)
    return answer
  }

  kill(process, signal) {
    this.#record.note(`${process.name}: ${signal}`)
    process.child.kill(signal)
  }

  restart(process) {
    this.#record.note(`${process.name}: started again`)
    // The platform sets it for the first start of the whole system only.
    if (process.settings.founds) writeSettings(process, { ...process.settings, founds: false })
    this.#spawn(process)
  }

  async stop() {
    this.isStopping = true
    await Promise.all(
      [...this.controls, ...this.entries].map(({ child }) => {
        if (child.exitCode !== null || child.signalCode !== null) return undefined
        const ended = new Promise((resolve) => {
          child.once('exit', resolve)
        })
        child.kill('SIGCONT')
        child.kill('SIGKILL')
        return ended
      }),
    )
    rmSync(this.#folder, { recursive: true, force: true })
  }

  #create(program, settings, more) {
    const name = settings.instanceId
    const settingsFile = path.join(this.#folder, `${name}.yaml`)
    const created = { name, program, settings, settingsFile, ...more }
    writeSettings(created, settings)
    return created
  }

  /** The command is that of the deploy file. */
  #spawn(started) {
    const { name, program, settingsFile } = started
    const log = openSync(path.join(process.env.REVIEW_LOGS ?? this.#folder, `${name}.log`), 'a')
    started.child = spawn('node', ['--max-old-space-size=156', `target/${program}.mjs`], {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, NETTLESPUR_SETTINGS: settingsFile },
      stdio: ['ignore', log, log],
    })
    closeSync(log)
  }
}

/** JSON is YAML too. */
function writeSettings({ settingsFile }, settings) {
  writeFileSync(settingsFile, JSON.stringify(settings))
}
