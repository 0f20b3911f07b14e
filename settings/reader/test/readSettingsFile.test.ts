import path from 'node:path'
import test from 'ava'
import { z } from 'zod'
import {
  detectSettingsKind,
  findNearestName,
  parseSettings,
  readSettingsFile,
  resolvePath,
  SettingsError,
} from '../src/index.js'

const schema = z.strictObject({
  name: z.string().optional(),
  durationMs: z.int().min(1).max(10).optional(),
  parts: z.array(z.strictObject({ weight: z.number() })).optional(),
})

function parse(text: string): SettingsError {
  const error = parseSettings(text, { file: 'a.yaml', schema }).swap().unsafeCoerce()
  if (error instanceof SettingsError) return error
  throw error
}

test('every fault is told, in the order of the lines, and not just the first', (t) => {
  const error = parse('naem: x\ndurationMs: 11\nparts:\n  - weight: 1\n  - weight: two\n')
  t.is(error.kind, 'invalid-settings')
  t.deepEqual(error.message.split('\n'), [
    'a.yaml:1: naem: unknown key, did you mean name?, given "x"; allowed: name, durationMs, parts',
    'a.yaml:2: durationMs: not allowed, given 11; allowed: a whole number from 1 to 10',
    'a.yaml:5: parts[1].weight: not allowed, given "two"; allowed: a number',
  ])
})

test('whatever could mean other than it reads is malformed, with its line', (t) => {
  const cases: [string, number][] = [
    ['name: a\nname: b\n', 2],
    ['name: a\nparts: [1\n', 3],
    ['parts: &all []\nname: *all\n', 2],
    ['a: &a [x, x]\nb: &b [*a, *a]\nc: &c [*b, *b]\n', 2],
    ['name: a\n---\nname: b\n', 2],
    ['name: !secret a\n', 1],
    ['name: "a\n', 2],
    [`name: ${'['.repeat(20_000)}`, 1],
    [`name: ${'x'.repeat(1_048_577)}`, 1],
  ]
  for (const [text, line] of cases) {
    const error = parse(text)
    t.is(error.kind, 'malformed-yaml', text.slice(0, 40))
    t.is(error.faults[0]?.line, line, text.slice(0, 40))
  }
})

test('an empty file and a prototype key are refused', (t) => {
  t.is(parse('').faults[0]?.given, 'null')
  t.like(parse('name: a\n__proto__: {}\n').faults[0], { path: '__proto__', line: 2 })
})

test('a file that cannot be read is a settings error without a fault', (t) => {
  const error = readSettingsFile({ file: '/absent/a.yaml', schema }).swap().unsafeCoerce()
  t.is(error.kind, 'invalid-settings')
  t.true(error.message.includes('/absent/a.yaml'))
})

test('paths are taken from the folder of the settings file', (t) => {
  t.is(resolvePath('/etc/nettlespur/a.yaml', 'keys/peer.key'), '/etc/nettlespur/keys/peer.key')
  t.is(resolvePath('/etc/nettlespur/a.yaml', '/keys/peer.key'), '/keys/peer.key')
  t.is(resolvePath('a.yaml', 'data'), path.resolve('data'))
})

test('a nearest name is given only where one is near', (t) => {
  t.is(findNearestName('heartBeatms', ['heartbeatMs', 'stopGraceMs']), 'heartbeatMs')
  t.is(findNearestName('adress', ['address', 'access']), 'address')
  t.is(findNearestName('colour', ['heartbeatMs', 'stopGraceMs']), undefined)
})

test('no kind is told for keys that fit two kinds as well or none', (t) => {
  t.is(detectSettingsKind('instanceId: a\n'), undefined)
  t.is(detectSettingsKind('- 1\n'), undefined)
  t.is(detectSettingsKind(''), undefined)
})
