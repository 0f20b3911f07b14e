import test from 'ava'
import { formatPath } from '@nettlespur/api.schemas'
import type { NettlespurError } from '@nettlespur/core.errors'
import type { Either } from 'purify-ts'
import fc from 'fast-check'
import { stringify } from 'yaml'
import {
  detectSettingsKind,
  parseSettings,
  SettingsError,
  settingsSchemas,
  type SettingsKind,
} from '../src/index.js'
import { getAt, listPaths, setAt, validSettings, type Path } from './validSettings.js'

const file = 'node.yaml'
const required: Record<SettingsKind, readonly string[]> = {
  control: ['instanceId', 'dataCentre', 'peerAddress', 'dataFolder', 'members', 'keyFiles'],
  entry: ['instanceId', 'dataCentre', 'listenAddress', 'peerAddress', 'control', 'keyFiles'],
  upstream: ['upstreamId', 'dataCentre', 'rack', 'listenAddress', 'entries'],
  'batch-control': ['instanceId', 'dataCentre', 'seeds', 'controlAddress', 'dataFolder', 'founds'],
  'batch-entry': ['instanceId', 'dataCentre', 'seeds', 'callerAddress', 'readinessAddress'],
}

function check(kind: SettingsKind, text: string): Either<NettlespurError, unknown> {
  return parseSettings<unknown>(text, { file, schema: settingsSchemas[kind] })
}

/** The one fault that stands at the path; its line's text is given beside it. */
function findFault(kind: SettingsKind, text: string, path: Path) {
  const error = check(kind, text).swap().unsafeCoerce()
  if (!(error instanceof SettingsError)) throw error
  const [fault, ...others] = error.faults.filter((each) => each.path === formatPath(path))
  if (fault === undefined || others.length > 0) {
    throw new Error(`not one fault at ${formatPath(path)}: ${error.message}`)
  }
  return { fault, lineText: text.split('\n')[fault.line - 1] ?? '' }
}

/** The text a line has when the path's last step is written on it, in block style. */
function startsStep(lineText: string, path: Path): boolean {
  const last = path.at(-1)
  return typeof last === 'number' ? lineText.includes('- ') : lineText.includes(`${String(last)}:`)
}

test('valid settings pass, and their kind is told from their keys', (t) => {
  fc.assert(
    fc.property(validSettings, ({ kind, value }) => {
      const text = stringify(value)
      return check(kind, text).isRight() && detectSettingsKind(text) === kind
    }),
  )
  t.pass()
})

test('an unknown key is named by its path and line, with the known keys', (t) => {
  fc.assert(
    fc.property(validSettings, fc.nat(), ({ kind, value }, pick) => {
      const mappings = listPaths(value).filter((path) => isMapping(getAt(value, path)))
      const parent: Path = [[], ...mappings][pick % (mappings.length + 1)] ?? []
      const path = [...parent, 'surplusMs']
      const text = stringify(setAt(value, path, 5))
      const { fault, lineText } = findFault(kind, text, path)
      const known = Object.keys(getAt(value, parent) as object)
      return (
        startsStep(lineText, path) &&
        fault.given === '5' &&
        known.every((key) => fault.allowed?.includes(key))
      )
    }),
  )
  t.pass()
})

test('a value of a wrong type is named by its path and line, with what is allowed', (t) => {
  fc.assert(
    fc.property(validSettings, fc.nat(), ({ kind, value }, pick) => {
      const paths = listPaths(value)
      const path = paths[pick % paths.length] ?? []
      const wrong = isMapping(getAt(value, path)) ? 'wrong' : { wrong: true }
      const { fault, lineText } = findFault(kind, stringify(setAt(value, path, wrong)), path)
      return (
        startsStep(lineText, path) &&
        fault.given === JSON.stringify(wrong) &&
        fault.allowed !== undefined
      )
    }),
  )
  t.pass()
})

test('a missing field is named by its path, with what is allowed', (t) => {
  fc.assert(
    fc.property(validSettings, fc.nat(), ({ kind, value }, pick) => {
      const names = required[kind]
      const path = [names[pick % names.length] ?? '']
      const { fault } = findFault(kind, stringify(setAt(value, path, undefined)), path)
      return (
        fault.line === 1 &&
        fault.problem === 'is missing' &&
        fault.given === undefined &&
        fault.allowed !== undefined
      )
    }),
  )
  t.pass()
})

test('a host name in place of an IP number is named by its path and line', (t) => {
  fc.assert(
    fc.property(validSettings, fc.domain(), fc.nat(), ({ kind, value }, host, pick) => {
      const paths = listPaths(value).filter((path) => isAddress(getAt(value, path)))
      const path = paths[pick % paths.length] ?? []
      const text = stringify(setAt(value, path, `${host}:7400`))
      const { fault, lineText } = findFault(kind, text, path)
      return (
        lineText.includes(host) &&
        fault.given === `"${host}:7400"` &&
        fault.allowed?.startsWith('an IP number') === true
      )
    }),
  )
  t.pass()
})

function isMapping(value: unknown): boolean {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function isAddress(value: unknown): boolean {
  return typeof value === 'string' && /^\d.*:\d+$/.test(value)
}
