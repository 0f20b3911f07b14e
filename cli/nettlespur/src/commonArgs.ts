/** Options of every command that calls the cluster. */
import type { ArgsDef } from 'citty'

export const defaultEndpoint = 'http://127.0.0.1:7400'
export const defaultTimeoutMs = 30_000

export const jsonArg = {
  type: 'boolean',
  description: 'Print the answer as the JSON the cluster gave',
} as const

export const commonArgs = {
  endpoint: {
    type: 'string',
    description: 'Entry to call, by IP number; names are not looked up',
    default: defaultEndpoint,
    valueHint: 'URL',
  },
  'key-file': {
    type: 'string',
    description: 'File whose first key is sent',
    valueHint: 'FILE',
  },
  'ca-file': {
    type: 'string',
    description: "Authority that signed the entry's certificate, in PEM; needed for https",
    valueHint: 'FILE',
  },
  'timeout-ms': {
    type: 'string',
    description: 'How long one call may take, in milliseconds',
    default: String(defaultTimeoutMs),
    valueHint: 'N',
  },
  json: jsonArg,
} as const satisfies ArgsDef

/** The workspace a job or request belongs to. */
export const workspaceArg = {
  type: 'string',
  description: 'Workspace it belongs to',
  required: true,
  valueHint: 'WORKSPACE',
} as const

/** Values of the common options as citty gives them. */
export interface CommonArgValues {
  readonly endpoint: string
  readonly 'key-file'?: string | undefined
  readonly 'ca-file'?: string | undefined
  readonly 'timeout-ms': string
  readonly json?: boolean | undefined
}
