/** When a search for the leader has heard enough. */
import test from 'ava'
import { LeaderSearch } from '../src/leaderSearch.js'

const members = ['a', 'b', 'c', 'd', 'e']

function createSearch(asked: readonly string[] = members) {
  const search = new LeaderSearch(asked)
  const note = (address: string, term: number, leaderAddress?: string): void => {
    search.addView(address, { leaderAddress, term, memberAddresses: members })
  }
  return { search, note }
}

function findAddress(search: LeaderSearch): string | undefined {
  return search.findLeader(() => false)?.address
}

test('a leader is not taken before a majority of its members has answered', (t) => {
  const { search, note } = createSearch()
  note('a', 3, 'a')
  note('b', 3, 'a')
  t.false(search.isDecided)
  note('c', 2, 'd')
  t.true(search.isDecided)
  t.is(findAddress(search), 'a')
})

test('a former leader is not taken once any member tells of a later term', (t) => {
  const { search, note } = createSearch()
  note('a', 3, 'a')
  note('b', 3, 'a')
  note('c', 4)
  note('d', 4)
  t.false(search.isDecided)
  note('e', 4, 'e')
  t.true(search.isDecided)
  t.is(findAddress(search), 'e')
})

test('a leader that others name and that says nothing itself decides nothing, yet is the best guess', (t) => {
  const { search, note } = createSearch()
  for (const member of ['b', 'c', 'd', 'e']) note(member, 3, 'a')
  t.false(search.isDecided)
  t.is(findAddress(search), 'a')
  t.is(search.describe(), '4 of 5 members answered, not yet a')
})

test('a member that knows itself only does not decide for the others that were asked', (t) => {
  const search = new LeaderSearch(['a', 'b'])
  search.addView('a', { leaderAddress: 'a', term: 1, memberAddresses: ['a'] })
  t.false(search.isDecided)
  search.addView('b', { leaderAddress: 'b', term: 2, memberAddresses: ['b'] })
  t.true(search.isDecided)
  t.is(findAddress(search), 'b')
})

test('members named by any answer are known', (t) => {
  const { search, note } = createSearch(['a'])
  t.deepEqual(search.memberAddresses, [])
  note('a', 1)
  t.deepEqual(search.memberAddresses, members)
})

test('a member that has stepped down is not taken on the word of those that it led', (t) => {
  const { search, note } = createSearch()
  for (const member of ['b', 'c', 'd', 'e']) note(member, 3, 'a')
  note('a', 3)
  t.is(findAddress(search), undefined)
})

test('what was refuted before is believed again only on the own word of the member', (t) => {
  const { search, note } = createSearch()
  note('b', 3, 'a')
  const isRefuted = (): boolean => true
  t.is(search.findLeader(isRefuted), undefined)
  note('a', 3, 'a')
  t.is(search.findLeader(isRefuted)?.address, 'a')
})
