/** Calls of callers and operators to one entry of a trial cluster. */
import { SystemClock } from '@nettlespur/core.clock'
import { unwrap } from '@nettlespur/core.errors'
import { callHttp } from '@nettlespur/net.client'
import { formatBearerKey } from '@nettlespur/net.keys'

const clock = new SystemClock()
const defaultTimeoutMs = 60_000

export interface CallEntryOptions {
  address: string
  key: string
  method: string
  path: string
  headers?: Readonly<Record<string, string>>
  body?: string
  timeoutMs?: number
  /** Authority that signed the entry's certificate: set, it makes the call use TLS. */
  ca?: Buffer
}

export interface EntryAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly text: string
  /** The body as JSON; undefined where it is none. */
  readonly json: unknown
}

/** Errors: rejects with `unreachable` and `outcome-unknown`; any answer, also a refusal, resolves. */
export async function callEntry(opts: CallEntryOptions): Promise<EntryAnswer> {
  const { address, method, path, body } = opts
  const headers = { authorization: formatBearerKey(opts.key), ...opts.headers }
  const timeoutMs = opts.timeoutMs ?? defaultTimeoutMs
  const sent = { clock, address, method, path, headers, timeoutMs, ca: opts.ca }
  const answer = await unwrap(callHttp(body === undefined ? sent : { ...sent, body }))
  const text = answer.body.toString('utf8')
  return { status: answer.status, headers: answer.headers, text, json: parse(text) }
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return undefined
  }
}
