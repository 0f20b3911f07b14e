/** A settings file that changes while its process runs, on a manual clock. */
import { writeFileSync } from 'node:fs'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { ManualClock } from '@nettlespur/core.clock'
import { createLogger } from '@nettlespur/core.logger'
import test, { type ExecutionContext } from 'ava'
import { z } from 'zod'
import { SettingsFollower } from '../src/index.js'

const schema = z.strictObject({ port: z.int() })

async function startFollower(t: ExecutionContext) {
  const folder = await mkdtemp(path.join(tmpdir(), 'nettlespur-settings-'))
  t.teardown(() => rm(folder, { recursive: true }))
  const file = path.join(folder, 'settings.yaml')
  const text = 'port: 1\n'
  writeFileSync(file, text)
  const clock = new ManualClock()
  const lines: string[] = []
  const write = (line: string): void => {
    lines.push(line)
  }
  const logger = createLogger({ name: 'test', instanceId: 'i', write })
  const taken: number[] = []
  const onChange = ({ port }: { port: number }): void => {
    taken.push(port)
  }
  const follower = new SettingsFollower({ file, schema, clock, logger, text, onChange })
  const ending = new AbortController()
  const ended = follower.run(ending.signal)
  t.teardown(() => {
    ending.abort()
    return ended
  })
  return { file, clock, lines, taken, follower }
}

test('a changed file is taken up without a signal, and only once', async (t) => {
  const { file, clock, taken } = await startFollower(t)
  await clock.advance(3000)
  t.deepEqual(taken, [])
  writeFileSync(file, 'port: 2\n')
  await clock.advance(3000)
  t.deepEqual(taken, [2])
})

test('a signal has the file looked at at once', async (t) => {
  const { file, clock, taken, follower } = await startFollower(t)
  await clock.advance(1)
  writeFileSync(file, 'port: 2\n')
  follower.lookNow()
  await clock.advance(1)
  t.deepEqual(taken, [2])
})

test('a file with a fault is refused with a line, and the settings in use stay', async (t) => {
  const { file, clock, lines, taken } = await startFollower(t)
  writeFileSync(file, 'port: none\n')
  await clock.advance(3000)
  t.deepEqual(taken, [])
  t.is(lines.filter((line) => line.includes('settings.refused')).length, 1)
  writeFileSync(file, 'port: 3\n')
  await clock.advance(3000)
  t.deepEqual(taken, [3])
})
