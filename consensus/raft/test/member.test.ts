/** Which members count as voters during a change of the voters (joint consensus). */
import test from 'ava'
import { isVoterInBothSets, isVoter } from '../src/member.js'

test('during a change of voters only members of both the old and the new voters count as settled', (t) => {
  const members = ['a', 'b', 'c', 'd'].map((memberId) => ({
    memberId,
    peerAddress: '127.0.0.1:1',
    dataCentre: 'centre',
  }))
  const joint = { members, voters: ['b', 'c', 'd'], outgoing: ['a', 'b', 'c'] }
  t.true(isVoter(joint, 'd'))
  t.false(isVoterInBothSets(joint, 'd'))
  t.false(isVoterInBothSets(joint, 'a'))
  t.true(isVoterInBothSets(joint, 'b'))
  t.true(isVoterInBothSets({ members, voters: ['b', 'c', 'd'] }, 'd'))
})
