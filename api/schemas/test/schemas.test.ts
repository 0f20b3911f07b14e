import test from 'ava'
import { addressSchema, contractSchema, jobRequestSchema } from '../src/index.js'

test('addresses are IP numbers with a port and nothing else', (t) => {
  for (const good of ['127.0.0.1:7400', '[::1]:0'])
    t.true(addressSchema.safeParse(good).success, good)
  for (const bad of ['localhost:7400', '127.0.0.1', '127.0.0.256:1', '1.2.3.4:70000', '']) {
    t.false(addressSchema.safeParse(bad).success, bad)
  }
})

test('a contract with an unknown field is refused', (t) => {
  t.false(contractSchema.safeParse({ workspace: 'w', nonsense: 1 }).success)
})

test('a job takes its defaults: normal urgency, no checkpoint, empty payload', (t) => {
  const job = jobRequestSchema.parse({
    workspace: 'w',
    gang: { accelerators: 4, adjacency: 'upstream' },
    cpuCores: 1,
    memoryBytes: 1,
    expectedRunTimeMs: 1,
    repeatable: true,
  })
  t.deepEqual([job.urgency, job.checkpointable, job.payload], ['normal', false, ''])
})
