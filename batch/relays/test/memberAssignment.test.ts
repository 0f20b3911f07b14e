/** Guards against upstreams that stay with a member after it was taken out, because their assignment is remembered. */
import test from 'ava'
import { assignMember } from '../src/index.js'
import { MemberAssignment } from '../src/memberAssignment.js'

const members = ['10.0.0.1:7000', '10.0.0.2:7000', '10.0.0.3:7000']
const upstreams = Array.from({ length: 50 }, (_, at) => `10.1.0.${at}:8000`)

test('a remembered assignment is the computed one, also after a member is taken out and back', (t) => {
  const assignment = new MemberAssignment()
  for (const serving of [members, members.slice(1), [], members]) {
    const found = upstreams.map((upstream) => assignment.find(upstream, serving))
    const again = upstreams.map((upstream) => assignment.find(upstream, serving))
    t.deepEqual(
      found,
      upstreams.map((upstream) => assignMember(upstream, serving)),
    )
    t.deepEqual(again, found)
  }
})
