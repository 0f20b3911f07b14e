/** Log lines that wait for a slow reader, and those that are given up. */
import { closeSync, openSync, readFileSync } from 'node:fs'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import test, { type ExecutionContext } from 'ava'
import { BoundedWriter } from '../src/index.js'

async function openFile(t: ExecutionContext) {
  const folder = await mkdtemp(path.join(tmpdir(), 'nettlespur-writer-'))
  t.teardown(() => rm(folder, { recursive: true }))
  const file = path.join(folder, 'lines')
  const fileDescriptor = openSync(file, 'w')
  t.teardown(() => {
    closeSync(fileDescriptor)
  })
  return { file, fileDescriptor }
}

async function readUntil(file: string, isWhole: (text: string) => boolean): Promise<string> {
  for (;;) {
    const text = readFileSync(file, 'utf8')
    if (isWhole(text)) return text
    await new Promise((resolve) => setImmediate(resolve))
  }
}

test('lines are written in their order', async (t) => {
  const { file, fileDescriptor } = await openFile(t)
  const writer = new BoundedWriter({ fileDescriptor })
  for (let line = 1; line <= 1000; line++) writer.write(`line ${line}\n`)
  const text = await readUntil(file, (read) => read.includes('line 1000\n'))
  const expected = Array.from({ length: 1000 }, (_, at) => `line ${at + 1}\n`).join('')
  t.is(text, expected)
  t.is(writer.droppedLines, 0)
})

test('what does not fit the buffer is counted, and the count is written', async (t) => {
  const { file, fileDescriptor } = await openFile(t)
  const writer = new BoundedWriter({ fileDescriptor, bufferBytesMax: 30 })
  for (let line = 1; line <= 10; line++) writer.write(`line ${line}\n`)
  const text = await readUntil(file, (read) => read.includes('log.dropped'))
  t.regex(text, /^line 1\nline 2\n/)
  t.is(writer.droppedLines, 6)
  t.regex(text, /event=log\.dropped lines=6/)
})
