import test from 'ava'
import { toNettlespurError } from '../src/index.js'

test('the message of an error event that is no Error is kept', (t) => {
  t.is(
    toNettlespurError({ type: 'error', message: 'connection reset' }).message,
    'connection reset',
  )
  t.is(toNettlespurError(new Error('boom')).message, 'boom')
  t.is(toNettlespurError('text').message, 'text')
})
