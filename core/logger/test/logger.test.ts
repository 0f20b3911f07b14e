import test from 'ava'
import fc from 'fast-check'
import { createLogger } from '../src/index.js'

test('an event is one line of key=value pairs with its instance and name', (t) => {
  const lines: string[] = []
  const logger = createLogger({
    name: 'entry',
    instanceId: 'e1',
    write: (line) => void lines.push(line),
  })
  logger.info({
    event: 'request.routed',
    upstreamId: 'u1',
    reason: 'most free slots',
    skipped: undefined,
  })
  t.is(lines.length, 1)
  t.regex(
    lines[0] ?? '',
    /^time=\S+ level=info process=entry instanceId=e1 event=request\.routed upstreamId=u1 reason="most free slots"\n$/,
  )
})

test('no value, whatever it holds, breaks its line', (t) => {
  const lines: string[] = []
  const logger = createLogger({
    name: 'x',
    instanceId: 'i',
    write: (line) => void lines.push(line),
  })
  fc.assert(
    fc.property(fc.string({ unit: 'binary' }), (value) => {
      lines.length = 0
      logger.info({ event: 'test.event', value })
      const [line = ''] = lines
      return lines.length === 1 && line.indexOf('\n') === line.length - 1
    }),
  )
  t.pass()
})
