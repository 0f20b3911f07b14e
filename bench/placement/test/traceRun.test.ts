import { createPolicy } from '@nettlespur/placement.engine'
import test from 'ava'
import { thapa } from '../src/deployment.js'
import { createTrace } from '../src/trace.js'
import { TraceRun } from '../src/traceRun.js'

test('a trace and its run are the same for the same seed', async (t) => {
  const opts = { deployment: thapa, seed: 7, load: 0.5, windowMs: 3_600_000 }
  const run = () => new TraceRun(createTrace(opts), createPolicy('completionTime')).run()
  const [first, second] = [await run(), await run()]
  t.deepEqual(first.finished, second.finished)
  t.true(first.finished.length > 0)
  t.is(first.left, 0)
})
