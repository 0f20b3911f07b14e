import path from 'node:path'
import test from 'ava'
import { job, member } from './examples.js'
import { startCluster } from './fakeCluster.js'
import { makeFolder, runCli } from './runCli.js'

const accepted = { status: 202, json: { jobId: 'job-1', state: 'queued' } }
const submit = ['job', 'submit', '--workspace=demo', '--accelerators=4']

test('a submitted job carries the options, its workspace and the first key of the key file', async (t) => {
  const cluster = await startCluster(t, { 'POST /v1/jobs': accepted })
  const key = 'k'.repeat(43)
  const folder = makeFolder(t, {
    'a.key': `# caller\n${key}\nsecond-key-second-key-second\n`,
    'a.txt': 'span 17',
  })
  const options = [
    '--adjacency=rack',
    '--cpu-cores=1.5',
    '--memory-bytes=10',
    '--expected-run-time-ms=9',
  ]
  const files = [
    `--key-file=${path.join(folder, 'a.key')}`,
    `--payload-file=${path.join(folder, 'a.txt')}`,
  ]
  const flags = ['--urgent', '--checkpointable', '--job-key=span-17']
  const run = await runCli(
    ...submit,
    ...options,
    ...files,
    ...flags,
    '--endpoint',
    cluster.endpoint,
  )
  t.deepEqual(run, { exitCode: 0, stdout: 'job job-1 queued\n', stderr: '' })
  t.is(cluster.calls[0]?.headers.authorization, `Bearer ${key}`)
  t.deepEqual(JSON.parse(cluster.calls[0]?.body ?? ''), {
    workspace: 'demo',
    jobKey: 'span-17',
    gang: { accelerators: 4, adjacency: 'rack' },
    cpuCores: 1.5,
    memoryBytes: 10,
    expectedRunTimeMs: 9,
    urgency: 'urgent',
    repeatable: false,
    checkpointable: true,
    payload: 'span 17',
  })
})

test('a job from a file is the same job; a made key is told and sent', async (t) => {
  const cluster = await startCluster(t, { 'POST /v1/jobs': accepted })
  const asked = {
    workspace: 'demo',
    gang: job.gang,
    cpuCores: 1,
    memoryBytes: 1,
    expectedRunTimeMs: 1,
    repeatable: true,
  }
  const folder = makeFolder(t, {
    'job.json': JSON.stringify(asked),
    'bad.yaml': 'workspace: demo\n',
  })
  const run = await runCli(
    'job',
    'submit',
    '--file',
    path.join(folder, 'job.json'),
    '--endpoint',
    cluster.endpoint,
  )
  const sent = JSON.parse(cluster.calls[0]?.body ?? '') as Record<string, unknown>
  t.like(sent, asked)
  t.is(run.stderr, `note jobKey=${String(sent.jobKey)}\n`)
  const bad = await runCli(
    'job',
    'submit',
    '--file',
    path.join(folder, 'bad.yaml'),
    '--endpoint',
    cluster.endpoint,
  )
  t.is(bad.exitCode, 2)
  t.true(bad.stderr.includes('bad.yaml:1: gang: is missing'))
})

test('a request sends its headers and prints the answer as it came', async (t) => {
  const cluster = await startCluster(t, {
    'POST /v1/requests': { status: 200, json: { clear: true } },
  })
  const options = ['--body=hello', '--repeatable', '--deadline-ms=900', '--request-key=r1']
  const run = await runCli(
    'request',
    'send',
    '--workspace=demo',
    ...options,
    '--endpoint',
    cluster.endpoint,
  )
  t.deepEqual(run, { exitCode: 0, stdout: '{"clear":true}', stderr: '' })
  t.is(cluster.calls[0]?.body, 'hello')
  t.like(cluster.calls[0]?.headers, {
    'nettlespur-workspace': 'demo',
    'idempotency-key': 'r1',
    'nettlespur-repeatable': 'true',
    'nettlespur-deadline-ms': '900',
  })
})

test('members are added and removed, and jobs cancelled', async (t) => {
  const cluster = await startCluster(t, {
    'POST /v1/members': { status: 200, json: [member] },
    'DELETE /v1/members/:id': { status: 200, json: [member] },
    'DELETE /v1/jobs/:id': { status: 200, json: { ...job, state: 'stopping' } },
  })
  const at = ['--endpoint', cluster.endpoint]
  const add = ['member', 'add', 'control-4', '--peer-address=127.0.0.1:7604', '--data-centre=dc-2']
  t.is((await runCli(...add, ...at)).exitCode, 0)
  t.is((await runCli('member', 'remove', 'control-2', ...at)).exitCode, 0)
  const cancel = await runCli('job', 'cancel', 'job-1', '--workspace=demo', ...at)
  t.true(cancel.stdout.includes('stopping'))
  t.deepEqual(JSON.parse(cluster.calls[0]?.body ?? ''), {
    memberId: 'control-4',
    peerAddress: '127.0.0.1:7604',
    dataCentre: 'dc-2',
  })
  t.is(cluster.calls[1]?.url, '/v1/members/control-2')
})

test('a data centre is evacuated and taken back by its name', async (t) => {
  const path = '/v1/data-centres/dc-2/evacuation'
  const answer = { status: 200, json: { dataCentre: 'dc-2' } }
  const cluster = await startCluster(t, { [`PUT ${path}`]: answer, [`DELETE ${path}`]: answer })
  const run = (verb: string) => runCli('data-centre', verb, 'dc-2', '--endpoint', cluster.endpoint)
  t.like(await run('evacuate'), {
    exitCode: 0,
    stdout: 'dc-2 is evacuated: nothing more starts there\n',
  })
  t.like(await run('restore'), { exitCode: 0, stdout: 'dc-2 takes new work\n' })
  t.deepEqual(
    cluster.calls.map(({ method }) => method),
    ['PUT', 'DELETE'],
  )
})
