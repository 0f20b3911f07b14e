import test from 'ava'
import { contractView, job, jobAnswer, member, report, status, upstream } from './examples.js'
import { startCluster } from './fakeCluster.js'
import { runCli } from './runCli.js'

test("each reading command prints tables for people, and the cluster's own JSON with --json", async (t) => {
  const cases: [string, unknown, string[], string[]][] = [
    [
      '/v1/status',
      status,
      ['status'],
      ['leader control-1, term 4', 'jobs: 2 queued', 'entry-1', 'up-1'],
    ],
    ['/v1/report', report, ['report'], ['workspace demo  5', '6 of 8 accelerators free', '0.750']],
    [
      '/v1/upstreams',
      { upstreams: [upstream] },
      ['upstream', 'list'],
      ['UPSTREAM', 'up-1', 'ready'],
    ],
    [
      '/v1/data-centres',
      { dataCentres: [{ dataCentre: 'dc-2', evacuated: true, revision: 3 }] },
      ['data-centre', 'list'],
      ['DATA CENTRE', 'dc-2', 'yes'],
    ],
    ['/v1/members', { members: [member] }, ['member', 'list'], ['MEMBER', 'control-1', 'leader']],
    [
      '/v1/contracts',
      { contracts: [contractView] },
      ['contract', 'list'],
      ['WORKSPACE', 'demo', '1 entries'],
    ],
    [
      '/v1/contracts/demo',
      contractView,
      ['contract', 'get', 'demo'],
      ['# revision 3', 'weight: 1'],
    ],
    [
      '/v1/jobs/job-1',
      job,
      ['job', 'get', 'job-1', '--workspace=demo'],
      ['job-1 of demo: running'],
    ],
    [
      '/v1/jobs/job-1/explanation',
      {
        job,
        waitsFor: ['a block of 4'],
        decisions: [{ at: job.submittedAt, event: 'queued', reason: 'no block' }],
      },
      ['job', 'explain', 'job-1', '--workspace=demo'],
      ['waits for  a block of 4', 'queued: no block'],
    ],
  ]
  for (const [url, json, args, words] of cases) {
    const cluster = await startCluster(t, { [`GET ${url}`]: { status: 200, json } })
    const all = [...args, '--endpoint', cluster.endpoint]
    const [text, raw] = await Promise.all([runCli(...all), runCli(...all, '--json')])
    t.like(text, { exitCode: 0, stderr: '' })
    for (const word of words) t.true(text.stdout.includes(word), text.stdout)
    t.deepEqual(raw, { exitCode: 0, stdout: `${JSON.stringify(json)}\n`, stderr: '' })
  }
})

test('job wait asks until the answer is there; job answer prints it, or says that it is not there', async (t) => {
  const running = { status: 202, json: job }
  const finished = { status: 200, json: jobAnswer }
  const cluster = await startCluster(t, {
    'GET /v1/jobs/:id/answer': [running, finished, finished, running],
    'GET /v1/jobs/:id': { status: 200, json: { ...job, state: 'finished' } },
  })
  const common = ['job-1', '--workspace=demo', '--endpoint', cluster.endpoint]
  const waited = await runCli('job', 'wait', ...common)
  t.is(waited.exitCode, 0)
  t.true(waited.stdout.startsWith('job job-1 of demo: finished'))
  t.deepEqual(
    cluster.calls.map((call) => call.headers['nettlespur-workspace']),
    ['demo', 'demo', 'demo'],
  )
  const answer = await runCli('job', 'answer', ...common)
  t.deepEqual(answer, { exitCode: 0, stdout: 'span 17 is clear\n', stderr: '' })
  const early = await runCli('job', 'answer', ...common, '--wait-ms=1')
  t.is(early.exitCode, 3)
  t.true(early.stderr.includes('it is running'))
})
