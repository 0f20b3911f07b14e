import { readFileSync } from 'node:fs'
import path from 'node:path'
import test from 'ava'
import { createKey } from '@nettlespur/net.keys'
import { callEntry, createTrialContract, TrialCluster } from '../__utils__/index.js'

const fixtures = path.resolve(import.meta.dirname, '..', '..', '__fixtures__')
const certFile = path.join(fixtures, 'instance.cert.pem')
const keyFile = path.join(fixtures, 'instance.key.pem')
const settings = { tls: { certFile, keyFile }, peerCaFile: certFile }
const contract = createTrialContract('thapa', createKey())

test('with certificates in the settings, callers and processes speak TLS and nothing else', async (t) => {
  const cluster = await TrialCluster.start({
    controls: 1,
    entries: 1,
    upstreams: 0,
    host: '127.0.0.1',
    controlSettings: settings,
    entrySettings: settings,
  })
  t.teardown(() => cluster.close())
  const [entry] = cluster.entries
  if (entry === undefined) throw new Error('no entry')
  const asked = { address: entry.address, key: cluster.operatorKey, method: 'GET' }
  const applied = await callEntry({
    ...asked,
    ca: readFileSync(certFile),
    method: 'PUT',
    path: '/v1/contracts/thapa?wait=in-force',
    headers: { 'if-match': '0', 'idempotency-key': 'first' },
    body: JSON.stringify(contract),
  })
  t.is(applied.status, 200)
  t.like(applied.json, { revision: 1, inForceAt: ['e1'] })
  const listed = { ...asked, path: '/v1/contracts' }
  await t.throwsAsync(callEntry(listed), { code: 'NETTLESPUR_OUTCOME_UNKNOWN' })
  const stranger = readFileSync(path.join(fixtures, 'stranger.cert.pem'))
  await t.throwsAsync(callEntry({ ...listed, ca: stranger }), { code: 'NETTLESPUR_UNREACHABLE' })
})
