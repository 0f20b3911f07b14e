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

test('no field of an event stands in the place of the head of its line', (t) => {
  const lines: string[] = []
  const logger = createLogger({
    name: 'entry',
    instanceId: 'e1',
    write: (line) => void lines.push(line),
  })
  const fields = { name: 'n', process: 'p', instanceId: 'i', time: 't', level: 'l', pid: 1, v: 2 }
  logger.info({ event: 'call.answered', ...fields })
  t.regex(
    lines[0] ?? '',
    /^time=20\S+ level=info process=entry instanceId=e1 event=call\.answered name=n field\.process=p field\.instanceId=i field\.time=t field\.level=l pid=1 v=2\n$/,
  )
})
