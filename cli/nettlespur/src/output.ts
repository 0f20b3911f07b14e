/** What the command line writes: results on standard output, notes and errors on standard error. */
import { toErrorBody, type NettlespurError } from '@nettlespur/core.errors'
import { SettingsError } from '@nettlespur/settings.reader'

const plainValue = /^[^\s"=\\]+$/

export function printText(text: string): void {
  process.stdout.write(text.endsWith('\n') ? text : `${text}\n`)
}

/** Bytes as they came, with nothing added. */
export function printBytes(bytes: Buffer): void {
  process.stdout.write(bytes)
}

/** A line for the operator that is no part of the result: `note key=value …`. */
export function printNote(fields: Readonly<Record<string, string>>): void {
  process.stderr.write(`note ${formatFields(fields)}\n`)
}

export interface PrintErrorOptions {
  json: boolean
}

/** The error body as JSON, or `error kind=… message=… hint=…` with one line for each settings fault. */
export function printError(error: NettlespurError, opts: PrintErrorOptions): void {
  process.stderr.write(`${opts.json ? formatJson(error) : formatError(error)}\n`)
}

function formatJson(error: NettlespurError): string {
  const faults = error instanceof SettingsError ? { faults: error.faults } : {}
  return JSON.stringify({ ...toErrorBody(error), ...faults })
}

function formatError(error: NettlespurError): string {
  if (!(error instanceof SettingsError)) return `error ${formatErrorFields(error, error.message)}`
  const { faults, file } = error
  const summary = `${file}: ${faults.length} ${faults.length === 1 ? 'fault' : 'faults'}`
  return `${error.message}\nerror ${formatErrorFields(error, summary)}`
}

function formatErrorFields(error: NettlespurError, message: string): string {
  const { kind, hint, retryAfterMs, answer } = error
  return formatFields({
    kind,
    ran: answer.ran,
    message,
    ...(hint === undefined ? {} : { hint }),
    ...(retryAfterMs === undefined ? {} : { retryAfterMs: String(retryAfterMs) }),
  })
}

function formatFields(fields: Readonly<Record<string, string>>): string {
  return Object.entries(fields)
    .map(([key, value]) => `${key}=${plainValue.test(value) ? value : JSON.stringify(value)}`)
    .join(' ')
}
