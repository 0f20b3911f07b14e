/** The assignment of upstreams to members: uneven shares would overload one, and moves without need cost polls. */
import test from 'ava'
import { assignMember } from '../src/index.js'

const members = [1, 2, 3, 4, 5].map((at) => `10.0.0.${at}:7000`)
const upstreams = Array.from({ length: 3000 }, (_, at) => `10.1.${at >> 8}.${at & 255}:8000`)

test('each member gets about the same share of the upstreams', (t) => {
  const counts = new Map<string, number>()
  for (const upstream of upstreams) {
    const member = assignMember(upstream, members) ?? ''
    counts.set(member, (counts.get(member) ?? 0) + 1)
  }
  for (const member of members) {
    const count = counts.get(member) ?? 0
    t.true(count > 500 && count < 700, `${member} has ${count}`)
  }
})

test('when a member is taken out, only its own upstreams move', (t) => {
  const remaining = members.slice(1)
  for (const upstream of upstreams) {
    const before = assignMember(upstream, members)
    if (before !== members[0]) t.is(assignMember(upstream, remaining), before)
  }
})

test('the order in which members are listed does not matter', (t) => {
  const reversed = members.toReversed()
  for (const upstream of upstreams.slice(0, 100))
    t.is(assignMember(upstream, members), assignMember(upstream, reversed))
})

test('without members there is no assignment', (t) => {
  t.is(assignMember('10.1.0.1:8000', []), undefined)
})
