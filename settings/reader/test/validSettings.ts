/** Generates settings files without faults, and names parts of them for mutations. */
import fc from 'fast-check'
import type { SettingsKind } from '../src/index.js'

export type Path = readonly (string | number)[]

export interface ValidSettings {
  readonly kind: SettingsKind
  readonly value: Record<string, unknown>
}

const identifier = fc.stringMatching(/^[a-z][a-z0-9-]{0,12}$/)
const port = fc.integer({ min: 1, max: 65_535 })
const address = fc.tuple(fc.ipV4(), port).map(([host, number]) => `${host}:${number}`)
const positive = fc.integer({ min: 1, max: 1_000_000 })
const file = fc.stringMatching(/^[a-z]{1,8}\.(key|pem)$/)
const log = fc.record({ level: fc.constantFrom('debug', 'info', 'warn', 'error') })
const instance = {
  instanceId: identifier,
  dataCentre: identifier,
  log,
  drainDeadlineMs: positive,
}

const control = fc.record({
  ...instance,
  peerAddress: address,
  dataFolder: fc.constant('data'),
  members: fc.array(
    fc.record({ memberId: identifier, peerAddress: address, dataCentre: identifier }),
    { minLength: 1, maxLength: 7 },
  ),
  keyFiles: fc.record({ peers: file }),
  objective: fc.constantFrom('completionTime', 'fragmentation'),
  timings: fc.record({ heartbeatMs: positive, stopGraceMs: positive }),
})

const entry = fc.record({
  ...instance,
  listenAddress: address,
  peerAddress: address,
  control: fc.array(address, { minLength: 1, maxLength: 5 }),
  keysRequired: fc.boolean(),
  keyFiles: fc.record({ peers: file, operators: file }),
  limits: fc.record({ bodyBytesMax: positive }),
})

const upstream = fc.record({
  upstreamId: identifier,
  dataCentre: identifier,
  rack: identifier,
  listenAddress: address,
  entries: fc.array(address, { minLength: 1, maxLength: 5 }),
  slots: positive,
  log,
})

const batch = {
  ...instance,
  seeds: fc.array(address, { minLength: 1, maxLength: 3 }),
  peerPort: port,
  metricsAddress: address,
}

const batchControl = fc.record({
  ...batch,
  controlAddress: address,
  dataFolder: fc.constant('data'),
  founds: fc.boolean(),
  announceEveryMs: positive,
  leaseMsMax: positive,
  keepEndedMs: positive,
})

const batchEntry = fc.record({ ...batch, callerAddress: address, readinessAddress: address })

export const validSettings: fc.Arbitrary<ValidSettings> = fc.oneof(
  control.map((value) => ({ kind: 'control' as const, value })),
  entry.map((value) => ({ kind: 'entry' as const, value })),
  upstream.map((value) => ({ kind: 'upstream' as const, value })),
  batchControl.map((value) => ({ kind: 'batch-control' as const, value })),
  batchEntry.map((value) => ({ kind: 'batch-entry' as const, value })),
)

/** Paths of all values below `value`. */
export function listPaths(value: unknown, below: Path = []): Path[] {
  if (typeof value !== 'object' || value === null) return []
  const keys = Array.isArray(value) ? [...value.keys()] : Object.keys(value)
  return keys.flatMap((key) => {
    const path = [...below, key]
    return [path, ...listPaths(getAt(value, [key]), path)]
  })
}

export function getAt(value: unknown, path: Path): unknown {
  return path.reduce<unknown>((at, step) => (at as Record<string | number, unknown>)[step], value)
}

/** A copy with another value at the path; undefined removes the field. */
export function setAt<T>(value: T, path: Path, given: unknown): T {
  const copy = structuredClone(value)
  const parent = getAt(copy, path.slice(0, -1)) as Record<string | number, unknown>
  const last = path.at(-1) ?? ''
  if (given === undefined) Reflect.deleteProperty(parent, last)
  else parent[last] = given
  return copy
}
