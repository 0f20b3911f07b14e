import path from 'node:path'
import test from 'ava'
import { NettlespurError } from '@nettlespur/core.errors'
import { stringify } from 'yaml'
import { contract, contractView } from './examples.js'
import { startCluster } from './fakeCluster.js'
import { makeFolder, runCli } from './runCli.js'

test('a contract is applied over the revision read first, with a change id that is told', async (t) => {
  const applied = { status: 200, json: { ...contractView, revision: 4, inForce: true } }
  const cluster = await startCluster(t, {
    'GET /v1/contracts/:workspace': { status: 200, json: contractView },
    'PUT /v1/contracts/:workspace': applied,
  })
  const file = path.join(makeFolder(t, { 'demo.yaml': stringify(contract) }), 'demo.yaml')
  const run = await runCli(
    'contract',
    'apply',
    file,
    '--wait',
    'in-force',
    '--endpoint',
    cluster.endpoint,
  )
  t.like(run, {
    exitCode: 0,
    stdout: 'demo revision 4 accepted, in force at entry-1, not yet at entry-2\n',
  })
  const put = cluster.calls[1]
  t.is(put?.url, '/v1/contracts/demo?wait=in-force')
  t.is(put?.headers['if-match'], '3')
  t.is(run.stderr, `note changeId=${String(put?.headers['idempotency-key'])} revision=3\n`)
  t.deepEqual(JSON.parse(put?.body ?? ''), contract)
})

test('a new contract is applied over revision 0', async (t) => {
  const cluster = await startCluster(t, {
    'GET /v1/contracts/:workspace': new NettlespurError('unknown-workspace', 'no such workspace'),
    'PUT /v1/contracts/:workspace': { status: 200, json: { ...contractView, revision: 1 } },
  })
  const file = path.join(makeFolder(t, { 'demo.yaml': stringify(contract) }), 'demo.yaml')
  const run = await runCli('contract', 'apply', file, '--endpoint', cluster.endpoint)
  t.is(run.exitCode, 0)
  t.is(cluster.calls[1]?.headers['if-match'], '0')
  t.is(run.stdout, 'demo revision 1 accepted, in force at entry-1, not yet at entry-2\n')
})

test('a change whose answer is lost tells the whole command that resends it; a stale one is refused', async (t) => {
  const stale = new NettlespurError('stale-revision', 'the revision is 3')
  const cluster = await startCluster(t, { 'PUT /v1/contracts/:workspace': ['cut', stale] })
  const file = path.join(makeFolder(t, { 'demo.yaml': stringify(contract) }), 'demo.yaml')
  const args = [
    'contract',
    'apply',
    file,
    '--revision=2',
    '--change-id=c1',
    '--endpoint',
    cluster.endpoint,
  ]
  const lost = await runCli(...args)
  t.is(lost.exitCode, 3)
  t.true(
    lost.stderr.includes(`nettlespur contract apply ${file} --revision 2 --change-id c1`),
    lost.stderr,
  )
  const refused = await runCli(...args)
  t.is(refused.exitCode, 1)
  t.true(refused.stderr.includes('kind=stale-revision'))
})

test('waiting for a change that is accepted but not in force everywhere exits with 3', async (t) => {
  const late = { status: 200, json: { ...contractView, inForce: false } }
  const cluster = await startCluster(t, { 'PUT /v1/contracts/:workspace': late })
  const file = path.join(makeFolder(t, { 'demo.yaml': stringify(contract) }), 'demo.yaml')
  const args = ['contract', 'apply', file, '--revision=2', '--change-id=c1']
  const run = await runCli(...args, '--wait=in-force', '--endpoint', cluster.endpoint)
  t.is(run.exitCode, 3)
  t.true(run.stdout.includes('not yet at entry-2'))
  t.true(run.stderr.includes('nettlespur contract get demo'), run.stderr)
  t.is((await runCli(...args, '--endpoint', cluster.endpoint)).exitCode, 0)
})
