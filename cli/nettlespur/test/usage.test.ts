import { statSync, readFileSync } from 'node:fs'
import path from 'node:path'
import test from 'ava'
import { hashKey } from '@nettlespur/net.keys'
import type { AnyCommand } from '../src/cliCommand.js'
import { findCommand } from '../src/findCommand.js'
import { mainCommand } from '../src/mainCommand.js'
import { renderHelp } from '../src/renderHelp.js'
import { makeFolder, runCli } from './runCli.js'

test('every wrong command line exits with 2, says what is wrong and calls nothing', async (t) => {
  const cases: [string[], string][] = [
    [[], 'needs a command'],
    [['contract'], 'needs a command'],
    [['contrat'], 'did you mean \\"contract\\"?'],
    [['constructor'], 'unknown command'],
    [['--timeout-ms=5', 'status'], 'options follow it'],
    [['status', '--jsn'], 'did you mean --json?'],
    [['status', '--no-json'], 'unknown option --no-json'],
    [['status', '--timeoutMs=5'], 'did you mean --timeout-ms?'],
    [['status', '-x'], 'unknown option -x'],
    [['status', 'extra'], 'unexpected argument'],
    [['status', '--endpoint'], 'needs a value'],
    [['status', '--timeout-ms', '--endpoint=x'], 'needs a value'],
    [['status', '--timeout-ms=0'], 'whole number from 1'],
    [['status', '--timeout-ms=5', '--timeout-ms=6'], 'given twice'],
    [['status', '--json=false'], 'takes no value'],
    [['status', '--endpoint=http://localhost:7400'], 'an IP number and a port'],
    [['status', '--endpoint=https://127.0.0.1:7400'], 'needs --ca-file'],
    [['contract', 'get'], 'WORKSPACE is missing'],
    [['job', 'get', 'job-1'], '--workspace is missing'],
    [['job', 'submit', '--accelerators=1'], '--workspace is missing'],
    [['job', 'submit', '--workspace=demo', '--accelerators=0'], 'whole number from 1'],
    [['job', 'submit', '--file=a', '--urgent'], 'exclude each other'],
    [['contract', 'apply', 'a.yaml', '--wait=now'], 'in-force'],
    [['member', 'add', 'c', '--peer-address=host:1', '--data-centre=d'], 'names are not looked up'],
  ]
  for (const [args, words] of cases) {
    const run = await runCli(...args)
    t.is(run.exitCode, 2, args.join(' '))
    t.is(run.stdout, '', args.join(' '))
    t.true(run.stderr.startsWith('error kind=invalid-usage ran=no message='), run.stderr)
    t.true(run.stderr.includes(words), run.stderr)
  }
})

test('every command has a help with an example', async (t) => {
  for (const words of listCommands(mainCommand)) {
    const help = await renderHelp(findCommand(mainCommand, [...words, '--help']))
    t.regex(help, /EXAMPLES\n\n {2}nettlespur /, words.join(' '))
    t.true(help.includes(`USAGE ${['nettlespur', ...words].join(' ')}`), help)
  }
})

test('help and version go to standard output and exit with 0', async (t) => {
  const version = await runCli('--version')
  t.like(version, { exitCode: 0, stderr: '' })
  t.regex(version.stdout, /^\d+\.\d+\.\d+\n$/)
  const help = await runCli('contract', 'apply', 'demo.yaml', '--help')
  t.like(help, { exitCode: 0, stderr: '' })
  t.true(help.stdout.includes('--change-id'))
})

test('a key file is readable by its owner only and is never written over', async (t) => {
  const file = path.join(makeFolder(t, {}), 'operator.key')
  const made = await runCli('key', 'create', '--file', file)
  t.is(made.exitCode, 0)
  t.is(statSync(file).mode & 0o777, 0o600)
  const key = readFileSync(file, 'utf8').trim()
  t.is(made.stdout, `file ${file}\nsha256 ${hashKey(key)}\n`)
  t.is((await runCli('key', 'create', '--file', file)).exitCode, 2)
  t.is(readFileSync(file, 'utf8').trim(), key)
})

test('settings check names faults by line, and passes a file without any', async (t) => {
  const good =
    'upstreamId: a\ndataCentre: d\nrack: r\nlistenAddress: 127.0.0.1:1\nentries: [127.0.0.1:2]\n'
  const folder = makeFolder(t, {
    'good.yaml': good,
    'bad.yaml': `${good}slots: many\n`,
    'odd.yaml': 'a: 1\n',
  })
  const passed = await runCli('settings', 'check', path.join(folder, 'good.yaml'))
  t.like(passed, { exitCode: 0, stderr: '' })
  t.true(passed.stdout.endsWith('no faults (upstream settings)\n'))
  const file = path.join(folder, 'bad.yaml')
  const failed = await runCli('settings', 'check', file)
  t.is(failed.exitCode, 2)
  t.true(
    failed.stderr.startsWith(
      `${file}:6: slots: not allowed, given "many"; allowed: a whole number from 0\n`,
    ),
  )
  const json = await runCli('settings', 'check', file, '--json')
  t.like(JSON.parse(json.stderr), {
    kind: 'invalid-settings',
    faults: [{ path: 'slots', line: 6 }],
  })
  const odd = await runCli('settings', 'check', path.join(folder, 'odd.yaml'))
  t.is(odd.exitCode, 2)
  t.true(odd.stderr.includes('--kind'))
})

function listCommands(command: AnyCommand, words: readonly string[] = []): string[][] {
  const below = Object.entries(command.commands ?? {})
  return [[...words], ...below.flatMap(([name, child]) => listCommands(child, [...words, name]))]
}
