import test from 'ava'
import { MetricsRegistry } from '../src/index.js'

test('the exposition holds counters, gauges and quantiles by name', (t) => {
  const metrics = new MetricsRegistry()
  metrics.count('requests_total', 2)
  metrics.gauge('queue_length', () => 3)
  for (let durationMs = 1; durationMs <= 100; durationMs++)
    metrics.recordMs('request_ms', durationMs)
  const text = metrics.render()
  t.regex(text, /^requests_total 2$/m)
  t.regex(text, /^queue_length 3$/m)
  t.regex(text, /^request_ms_count 100$/m)
  t.true(Math.abs(metrics.quantileMs('request_ms', 0.5) - 50) <= 1)
})
