import test from 'ava'
import { SystemClock } from '@nettlespur/core.clock'
import { measureStorage } from '../src/index.js'

test('one run gives a figure for each way compared and each log length', async (t) => {
  const rows = await measureStorage({
    clock: new SystemClock(),
    appendsPerTurn: 200,
    recoveredEntries: [10, 700],
  })
  const names = rows.map(({ name }) => name)
  t.is(new Set(names).size, names.length)
  t.true(names.includes('group_commit_over_one_sync_each'))
  t.true(names.includes('recovery_700_entries'))
  t.true(rows.every(({ value }) => Number.isFinite(value) && value > 0))
})
