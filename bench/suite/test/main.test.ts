import test from 'ava'
import { main, type Bench } from '../src/index.js'

function createBench(name: string, value: number): Bench {
  return { name, load: () => Promise.resolve(() => Promise.resolve([{ name, value, unit: 'ms' }])) }
}

const failing: Bench = { name: 'broken', load: () => Promise.reject(new Error('no disk')) }

async function run(argv: readonly string[], benches: readonly Bench[]) {
  const printed: string[] = []
  const errors: string[] = []
  const exitCode = await main(argv, {
    benches,
    print: (line) => printed.push(line),
    printError: (line) => errors.push(line),
  })
  return { exitCode, printed, errors }
}

test('every bench prints its figures, one a line', async (t) => {
  const benches = [createBench('fsync', 1.23456), createBench('commit', 20_000)]
  const { exitCode, printed } = await run([], benches)
  t.is(exitCode, 0)
  t.deepEqual(printed, ['fsync 1.235 ms', 'commit 20000 ms'])
})

test('--only loads no other bench', async (t) => {
  const { exitCode, printed } = await run(['--only', 'fsync'], [createBench('fsync', 1), failing])
  t.is(exitCode, 0)
  t.deepEqual(printed, ['fsync 1 ms'])
})

test('an unknown name or argument is a usage error that lists the benches', async (t) => {
  for (const argv of [['--only', 'nothing'], ['--fast'], ['fsync']]) {
    const { exitCode, printed, errors } = await run(argv, [createBench('fsync', 1)])
    t.is(exitCode, 2)
    t.deepEqual(printed, [])
    t.true(errors.join().includes('benches: fsync'))
  }
})

test('a bench that fails is named, and the others run all the same', async (t) => {
  const { exitCode, printed, errors } = await run([], [failing, createBench('fsync', 1)])
  t.is(exitCode, 1)
  t.deepEqual(printed, ['fsync 1 ms'])
  t.deepEqual(errors, ['bench broken failed: Error: no disk'])
})
