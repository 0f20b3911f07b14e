/** Calls to one or more addresses in turn, over kept connections. */
import http from 'node:http'
import type { Clock } from '@nettlespur/core.clock'
import { callHttp, toAnswerError, type HttpAnswer } from '@nettlespur/net.client'
import type { LoadOutcome } from './loadReport.js'
import { LoadTarget } from './loadTarget.js'

export interface HttpTargetOptions {
  clock: Clock
  /** `IP:PORT` of each, taken in turn. */
  addresses: readonly string[]
  createPath: (index: number) => string
  createHeaders: (index: number) => Readonly<Record<string, string>>
  body: string
  timeoutMs: number
  connectionsMax: number
}

export class HttpTarget extends LoadTarget {
  readonly #opts: HttpTargetOptions
  readonly #agent: http.Agent

  constructor(opts: HttpTargetOptions) {
    super()
    this.#opts = opts
    this.#agent = new http.Agent({ keepAlive: true, maxSockets: opts.connectionsMax })
  }

  override async send(index: number): Promise<LoadOutcome> {
    const { clock, addresses, body, timeoutMs } = this.#opts
    const answer = await callHttp({
      clock,
      address: addresses[index % addresses.length] ?? '',
      method: 'POST',
      path: this.#opts.createPath(index),
      headers: this.#opts.createHeaders(index),
      body,
      timeoutMs,
      agent: this.#agent,
    }).run()
    return answer.caseOf({
      Left: (error) => (error.answer.ran === 'no' ? 'refused' : 'failed'),
      Right: readOutcome,
    })
  }

  close(): void {
    this.#agent.destroy()
  }
}

function readOutcome(answer: HttpAnswer): LoadOutcome {
  if (answer.status < 300) return 'answered'
  return toAnswerError(answer).answer.ran === 'no' ? 'refused' : 'failed'
}
