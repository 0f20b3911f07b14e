import test from 'ava'
import { NettlespurError } from '@nettlespur/core.errors'
import { startCluster, startFakeCluster } from './fakeCluster.js'
import { runCli } from './runCli.js'

const submit = ['job', 'submit', '--workspace=demo', '--accelerators=4']

test('a refusal exits with 1 and tells kind, hint and when to come back', async (t) => {
  const refusal = new NettlespurError('over-limit', 'too many', { hint: 'wait', retryAfterMs: 250 })
  const cluster = await startCluster(t, { 'POST /v1/jobs': refusal })
  const args = [...submit, '--job-key=a', '--endpoint', cluster.endpoint]
  const text = await runCli(...args)
  t.deepEqual(text, {
    exitCode: 1,
    stdout: '',
    stderr: 'error kind=over-limit ran=no message="too many" hint=wait retryAfterMs=250\n',
  })
  const json = await runCli(...args, '--json')
  t.deepEqual(JSON.parse(json.stderr), {
    kind: 'over-limit',
    message: 'too many',
    ran: 'no',
    retryAfterMs: 250,
    hint: 'wait',
  })
})

test('a connection cut after a change left exits with 3 and tells how to resend the same', async (t) => {
  const cluster = await startCluster(t, {
    'POST /v1/jobs': 'cut',
    'POST /v1/requests': 'cut',
    'GET /v1/status': 'cut',
  })
  const job = await runCli(...submit, '--endpoint', cluster.endpoint)
  const jobKey = /jobKey=(\S+)/.exec(job.stderr)?.[1] ?? 'absent'
  t.is(job.exitCode, 3)
  t.true(job.stderr.includes(`submit the same again with --job-key ${jobKey}`), job.stderr)
  const request = await runCli(
    'request',
    'send',
    '--workspace=demo',
    '--request-key=r1',
    '--endpoint',
    cluster.endpoint,
  )
  t.is(request.exitCode, 3)
  t.true(request.stderr.includes('--request-key r1'), request.stderr)
  const read = await runCli('status', '--endpoint', cluster.endpoint)
  t.is(read.exitCode, 4, 'a read has no outcome in doubt')
})

test('an endpoint where nobody listens exits with 4', async (t) => {
  const cluster = await startFakeCluster({})
  await cluster.close()
  const run = await runCli(...submit, '--endpoint', cluster.endpoint)
  t.is(run.exitCode, 4)
  t.regex(run.stderr, /error kind=unreachable ran=no /)
})

test('an answer that is not of the API is not taken for one', async (t) => {
  const cluster = await startCluster(t, {
    'GET /v1/status': { status: 200, json: { other: true } },
  })
  const run = await runCli('status', '--endpoint', cluster.endpoint)
  t.is(run.exitCode, 3)
  t.is(run.stdout, '')
})
