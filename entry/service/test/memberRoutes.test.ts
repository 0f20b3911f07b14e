import test from 'ava'
import { startService, readJson } from './startService.js'

const member = { memberId: 'c4', peerAddress: '127.0.0.1:7604', dataCentre: 'dc4' }

test('only operators may add, list and remove control instances', async (t) => {
  const { send, keys, control } = await startService(t)
  const body = JSON.stringify(member)
  const operator = { key: keys.operator }
  t.is((await send('POST', '/v1/members', { key: keys.caller, body })).status, 401)
  t.is((await send('GET', '/v1/members', { key: keys.caller })).status, 401)
  t.is((await send('DELETE', '/v1/members/c4', { key: keys.caller })).status, 401)
  t.is(control.changes, 0)
  t.is((await send('POST', '/v1/members', { ...operator, body })).status, 202)
  t.like(readJson(await send('GET', '/v1/members', operator)), {
    members: [{ ...member, role: 'learner' }],
  })
  t.is((await send('DELETE', '/v1/members/c4', operator)).status, 202)
  t.is((await send('DELETE', '/v1/members/c4', operator)).status, 404)
})

test('a member with an unknown field or a host name is refused and changes nothing', async (t) => {
  const { send, keys, control } = await startService(t)
  const post = (value: unknown) =>
    send('POST', '/v1/members', { key: keys.operator, body: JSON.stringify(value) })
  t.like(readJson(await post({ ...member, role: 'voter' })), { kind: 'unknown-field', ran: 'no' })
  t.like(readJson(await post({ ...member, peerAddress: 'c4:7604' })), { kind: 'invalid-field' })
  t.is(control.changes, 0)
})
