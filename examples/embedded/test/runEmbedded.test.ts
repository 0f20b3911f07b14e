import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import test from 'ava'
import { runEmbedded } from '../src/index.js'

test('a program that embeds control and entry runs a gang and gets its whole answer', async (t) => {
  const dataFolder = mkdtempSync(path.join(tmpdir(), 'nettlespur-example-'))
  t.teardown(() => {
    rmSync(dataFolder, { recursive: true, force: true })
  })
  const log: string[] = []
  const answer = await runEmbedded({ dataFolder, writeLog: (line) => void log.push(line) })
  t.is(answer.parts.length, 1)
  t.true(answer.parts[0]?.body.includes('from another program'))
  t.true(log.some((line) => line.includes('event=placement.decided')))
})
