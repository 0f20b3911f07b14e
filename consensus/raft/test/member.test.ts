/** Who counts as a voter while the voters change. */
import test from 'ava'
import { isVoterInBothSets, isVoter } from '../src/member.js'

test('a member that joins the voters counts as one only once the change is done', (t) => {
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
