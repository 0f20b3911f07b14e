/** The options of `job submit`, and the job they describe. */
import { jobRequestSchema, type JobRequest } from '@nettlespur/api.schemas'
import { unwrapEither } from '@nettlespur/core.errors'
import { readSettingsFile } from '@nettlespur/settings.reader'
import type { ArgsDef } from 'citty'
import { readCount, readFileOf, readNumber } from './readArgs.js'
import { createUsageError } from './usageError.js'

const defaultExpectedRunTimeMs = 60_000
const defaultMemoryBytes = 1_073_741_824
const defaultCpuCores = 1

export const jobRequestArgs = {
  file: { type: 'string', description: 'The whole job in YAML or JSON', valueHint: 'FILE' },
  'job-key': {
    type: 'string',
    description: 'Finds the same job again when it is resent; random where absent',
    valueHint: 'KEY',
  },
  workspace: { type: 'string', description: 'Workspace it belongs to', valueHint: 'WORKSPACE' },
  accelerators: { type: 'string', description: 'Accelerators of the gang', valueHint: 'N' },
  adjacency: {
    type: 'enum',
    description: 'How close they must be; upstream where absent',
    options: ['upstream', 'rack', 'none'],
  },
  'cpu-cores': {
    type: 'string',
    description: `Cores over the whole gang; ${defaultCpuCores} where absent`,
    valueHint: 'N',
  },
  'memory-bytes': {
    type: 'string',
    description: `Memory over the whole gang; ${defaultMemoryBytes} where absent`,
    valueHint: 'N',
  },
  'expected-run-time-ms': {
    type: 'string',
    description: `Expected run time in milliseconds; ${defaultExpectedRunTimeMs} where absent`,
    valueHint: 'N',
  },
  urgent: { type: 'boolean', description: 'It starts ahead of work that can be stopped' },
  repeatable: { type: 'boolean', description: 'It may be started more than once' },
  checkpointable: { type: 'boolean', description: 'It may be stopped and resumed elsewhere' },
  payload: { type: 'string', description: 'What its tasks are given', valueHint: 'TEXT' },
  'payload-file': { type: 'string', description: 'File of what they are given', valueHint: 'FILE' },
} as const satisfies ArgsDef

/** Values of the options as citty gives them. */
export type JobRequestArgValues = {
  readonly [Name in keyof typeof jobRequestArgs]?: string | boolean | undefined
}

/** Errors: throws `invalid-usage`, `invalid-settings` and `malformed-yaml`. */
export function readJobRequest(args: JobRequestArgValues): JobRequest {
  const jobKey = readText(args['job-key'])
  const { file } = args
  const asked = file === undefined ? readOptions(args) : readJobFile(args, String(file))
  return checkJob({ ...asked, ...(jobKey === undefined ? {} : { jobKey }) })
}

function readJobFile(args: JobRequestArgValues, file: string): JobRequest {
  const names = Object.keys(jobRequestArgs) as (keyof JobRequestArgValues)[]
  const other = names.find(
    (name) => name !== 'file' && name !== 'job-key' && args[name] !== undefined,
  )
  if (other !== undefined) {
    throw createUsageError(`--file and --${other} exclude each other`, 'say it in the file')
  }
  return unwrapEither(readSettingsFile({ file, schema: jobRequestSchema }))
}

function readOptions(args: JobRequestArgValues): Readonly<Record<string, unknown>> {
  return {
    workspace: readRequired('workspace', args),
    gang: {
      accelerators: readCount('--accelerators', readRequired('accelerators', args), { least: 1 }),
      adjacency: args.adjacency ?? 'upstream',
    },
    cpuCores: readNumber('--cpu-cores', readText(args['cpu-cores']) ?? String(defaultCpuCores)),
    memoryBytes: readCount(
      '--memory-bytes',
      readText(args['memory-bytes']) ?? String(defaultMemoryBytes),
    ),
    expectedRunTimeMs: readCount(
      '--expected-run-time-ms',
      readText(args['expected-run-time-ms']) ?? String(defaultExpectedRunTimeMs),
    ),
    urgency: args.urgent === true ? 'urgent' : 'normal',
    repeatable: args.repeatable === true,
    checkpointable: args.checkpointable === true,
    payload: readPayload(args),
  }
}

function readPayload(args: JobRequestArgValues): string {
  const text = readText(args.payload)
  const file = readText(args['payload-file'])
  if (text !== undefined && file !== undefined) {
    throw createUsageError('--payload and --payload-file exclude each other')
  }
  return file === undefined ? (text ?? '') : readFileOf('--payload-file', file).toString('utf8')
}

function readRequired(name: 'workspace' | 'accelerators', args: JobRequestArgValues): string {
  const text = readText(args[name])
  if (text === undefined) throw createUsageError(`--${name} is missing`, 'or give --file')
  return text
}

function readText(value: string | boolean | undefined): string | undefined {
  return typeof value === 'string' ? value : undefined
}

/** Names the option that a fault of the whole job comes from. */
function checkJob(asked: unknown): JobRequest {
  const parsed = jobRequestSchema.safeParse(asked)
  if (parsed.success) return parsed.data
  const [issue] = parsed.error.issues
  const field = String(issue?.path.at(-1) ?? '')
  const option = field.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)
  throw createUsageError(`--${option}: ${issue?.message ?? 'not allowed'}`)
}
