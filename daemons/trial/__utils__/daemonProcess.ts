/**
 * One daemon as a process of its own, whose log lines a test can wait for. A wait ends with the line, with the end of the
 * process, or with an error that names the line.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'

export interface DaemonProcessOptions {
  /** The daemon's bin, an absolute path. */
  bin: string
  settingsFile: string
  /** A program and its arguments to run the daemon under, such as a tracer. */
  under?: readonly [string, ...string[]] | undefined
}

/** The fields of one log line. */
export type LogFields = Readonly<Record<string, string>>

/** Longer than a process takes beside other load, and shorter than the test runner waits. */
const waitMaxMs = 120_000

interface Waiter {
  readonly matches: (fields: LogFields) => boolean
  readonly timer: NodeJS.Timeout
  readonly resolve: (fields: LogFields) => void
  readonly reject: (cause: Error) => void
}

/** A test process that ends early must leave no daemon behind. */
const running = new Set<ChildProcess>()
process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL')
})

export class DaemonProcess {
  readonly lines: string[] = []
  readonly #child: ChildProcess
  readonly #waiters = new Set<Waiter>()
  readonly #ended: Promise<number | null>
  #hasEnded = false

  constructor(opts: DaemonProcessOptions) {
    const daemon = [process.execPath, opts.bin, '--settings', opts.settingsFile] as const
    const [program, ...args] = opts.under === undefined ? daemon : [...opts.under, ...daemon]
    this.#child = spawn(program, args, { stdio: ['ignore', 'ignore', 'pipe'] })
    running.add(this.#child)
    this.#ended = once(this.#child, 'exit').then(([code]) => code as number | null)
    if (this.#child.stderr !== null) {
      createInterface({ input: this.#child.stderr }).on('line', (line) => {
        this.#take(line)
      })
    }
    void this.#ended.then((code) => {
      this.#hasEnded = true
      running.delete(this.#child)
      this.#failWaiters(new Error(`the process ended with ${code ?? 'a signal'}:\n${this.#tail()}`))
    })
  }

  get pid(): number {
    return this.#child.pid ?? 0
  }

  /** Resolves with the first line, past or to come, of this event that `matches`. */
  waitFor(event: string, matches: (fields: LogFields) => boolean = () => true): Promise<LogFields> {
    const wanted = (fields: LogFields): boolean => fields.event === event && matches(fields)
    const past = this.lines.map((line) => parseLine(line)).find(wanted)
    if (past !== undefined) return Promise.resolve(past)
    if (this.#hasEnded)
      return Promise.reject(new Error(`it ended without ${event}:\n${this.#tail()}`))
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.#waiters.delete(waiter)
        reject(new Error(`waited ${waitMaxMs} ms for ${event}:\n${this.#tail()}`))
      }, waitMaxMs)
      const waiter: Waiter = { matches: wanted, timer, resolve, reject }
      this.#waiters.add(waiter)
    })
  }

  /** Sends a signal, such as SIGSTOP, without waiting. */
  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal)
  }

  /** Ends the process without warning. */
  async kill(): Promise<void> {
    this.#child.kill('SIGKILL')
    await this.#ended
  }

  /** A planned stop; resolves with the exit code. */
  async stop(): Promise<number | null> {
    this.#child.kill('SIGTERM')
    return this.#ended
  }

  #take(line: string): void {
    this.lines.push(line)
    const fields = parseLine(line)
    for (const waiter of this.#waiters) {
      if (!waiter.matches(fields)) continue
      this.#waiters.delete(waiter)
      clearTimeout(waiter.timer)
      waiter.resolve(fields)
    }
  }

  #failWaiters(cause: Error): void {
    for (const waiter of this.#waiters) {
      clearTimeout(waiter.timer)
      waiter.reject(cause)
    }
    this.#waiters.clear()
  }

  #tail(): string {
    return this.lines.slice(-20).join('\n')
  }
}

const fieldPattern = /(\w+)=("(?:[^"\\]|\\.)*"|\S*)/g

function parseLine(line: string): LogFields {
  const fields: Record<string, string> = {}
  for (const [, name = '', value = ''] of line.matchAll(fieldPattern)) {
    fields[name] = value.startsWith('"') ? String(JSON.parse(value)) : value
  }
  return fields
}
