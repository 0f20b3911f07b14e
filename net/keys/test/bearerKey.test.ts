import test from 'ava'
import { createKey, formatBearerKey, hashKey, matchesAnyHash, readBearerKey } from '../src/index.js'

test('only the exact key matches its hash', (t) => {
  const key = createKey()
  const hashes = [hashKey(createKey()), hashKey(key)]
  t.true(matchesAnyHash(key, hashes))
  t.false(matchesAnyHash(key + 'x', hashes))
  t.false(matchesAnyHash(undefined, hashes))
  t.false(matchesAnyHash(key, []))
  t.false(matchesAnyHash(undefined, [hashKey('')]))
})

test('a key is read from a Bearer header, and none from another or a missing header', (t) => {
  t.is(readBearerKey(formatBearerKey('abc')), 'abc')
  t.is(readBearerKey('Basic abc'), undefined)
  t.is(readBearerKey(undefined), undefined)
})
