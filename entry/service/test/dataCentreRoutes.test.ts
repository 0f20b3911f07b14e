/** Operators evacuate a data centre through any entry, see it, and take it back. */
import { createUpstreamView } from '@nettlespur/api.samples'
import test from 'ava'
import { startService, readJson } from './startService.js'

const list = '/v1/data-centres'
const path = '/v1/data-centres/dc1/evacuation'

test('an operator evacuates a data centre, sees it and takes it back', async (t) => {
  const { send, keys, control } = await startService(t)
  control.putUpstream(createUpstreamView({ dataCentre: 'dc1' }))
  const operator = { key: keys.operator }
  const isEvacuated = async () => {
    const { dataCentres } = readJson(await send('GET', list, operator)) as {
      dataCentres: { dataCentre: string; evacuated: boolean }[]
    }
    return dataCentres.find(({ dataCentre }) => dataCentre === 'dc1')?.evacuated
  }
  t.false(await isEvacuated())
  t.is((await send('PUT', path, operator)).status, 200)
  t.is((await send('PUT', path, operator)).status, 200)
  t.true(await isEvacuated())
  t.is((await send('DELETE', path, operator)).status, 200)
  t.false(await isEvacuated())
})

test('an order of anyone else, for an unknown data centre or with a body changes nothing', async (t) => {
  const { send, keys, control } = await startService(t)
  const operator = { key: keys.operator }
  t.is((await send('PUT', path, { key: keys.caller })).status, 401)
  t.is((await send('GET', list, { key: keys.caller })).status, 401)
  const unknown = await send('PUT', '/v1/data-centres/dc9/evacuation', operator)
  t.like(readJson(unknown), { kind: 'unknown-data-centre', ran: 'no' })
  const withBody = await send('PUT', path, { ...operator, body: '{}' })
  t.like(readJson(withBody), { kind: 'invalid-field', ran: 'no' })
  t.deepEqual(control.evacuations.listInForce(), [])
})
