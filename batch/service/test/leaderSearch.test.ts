/** When a search for the leader is decided, and which leader it finds. */
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

test('a search is not decided before a majority of the members has answered', (t) => {
  const { search, note } = createSearch()
  note('a', 3, 'a')
  note('b', 3, 'a')
  t.false(search.isDecided)
  note('c', 2, 'd')
  t.true(search.isDecided)
  t.is(findAddress(search), 'a')
})

test('a former leader does not decide a search once any member reports a later term', (t) => {
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

test('a leader that has not answered itself does not decide a search, but is found if others name it', (t) => {
  const { search, note } = createSearch()
  for (const member of ['b', 'c', 'd', 'e']) note(member, 3, 'a')
  t.false(search.isDecided)
  t.is(findAddress(search), 'a')
  t.is(search.describe(), '4 of 5 members answered, not yet a')
})

test('a member that knows only itself does not decide a search that asks other members too', (t) => {
  const search = new LeaderSearch(['a', 'b'])
  search.addView('a', { leaderAddress: 'a', term: 1, memberAddresses: ['a'] })
  t.false(search.isDecided)
  search.addView('b', { leaderAddress: 'b', term: 2, memberAddresses: ['b'] })
  t.true(search.isDecided)
  t.is(findAddress(search), 'b')
})

test('a search knows the members that any answer names', (t) => {
  const { search, note } = createSearch(['a'])
  t.deepEqual(search.memberAddresses, [])
  note('a', 1)
  t.deepEqual(search.memberAddresses, members)
})

test('a leader that has stepped down is not found although its followers still name it', (t) => {
  const { search, note } = createSearch()
  for (const member of ['b', 'c', 'd', 'e']) note(member, 3, 'a')
  note('a', 3)
  t.is(findAddress(search), undefined)
})

test('a refuted leader is found again only if it names itself', (t) => {
  const { search, note } = createSearch()
  note('b', 3, 'a')
  const isRefuted = (): boolean => true
  t.is(search.findLeader(isRefuted), undefined)
  note('a', 3, 'a')
  t.is(search.findLeader(isRefuted)?.address, 'a')
})
