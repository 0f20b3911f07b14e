import { readFileSync } from 'node:fs'
import http, { type IncomingMessage } from 'node:http'
import test from 'ava'
import { formatBearerKey } from '@nettlespur/net.keys'
import { callUpstream, createCall, startRequestTrial } from './requestTrial.js'

const answerBytes = 40_000_000
const answers = 5
const script = JSON.stringify({ answerBytes })

function openAnswer(address: string, key: string): Promise<IncomingMessage> {
  const { headers, body, ...target } = createCall(script)
  const [host, port] = address.split(':')
  const authorization = formatBearerKey(key)
  return new Promise((resolve, reject) => {
    const request = http.request({ ...target, host, port, headers: { ...headers, authorization } })
    request.on('response', resolve).on('error', reject)
    request.end(body)
  })
}

function readPeakBytes(pid: number): number {
  const [, kilobytes] = /VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8')) ?? []
  return Number(kilobytes) * 1024
}

test('answers of many megabytes pass to slow callers whole, with bounded memory', async (t) => {
  const { cluster, key } = await startRequestTrial(t, { controls: 1, entries: 1, upstreams: 1 })
  const [entry] = cluster.entries
  if (entry === undefined) return
  const beforeBytes = readPeakBytes(entry.process.pid)
  const opened = await Promise.all(
    Array.from({ length: answers }, () => openAnswer(entry.address, key)),
  )
  for (const answer of opened) {
    let size = 0
    for await (const chunk of answer as AsyncIterable<Buffer>) size += chunk.length
    t.is(size, answerBytes)
    t.true(answer.complete)
  }
  const grownBytes = readPeakBytes(entry.process.pid) - beforeBytes
  t.log(`the entry grew by ${Math.round(grownBytes / 1e6)} MB for ${answers} answers of 40 MB`)
  t.true(grownBytes < (answers * answerBytes) / 2)
})

test('a large answer that breaks off ends its caller, who cannot take it for whole', async (t) => {
  const { cluster, key } = await startRequestTrial(t, { controls: 1, entries: 1, upstreams: 1 })
  const fault = { method: 'POST', path: '/v1/standin/faults' }
  const body = JSON.stringify({ truncateAnswers: true })
  t.is((await callUpstream(cluster, cluster.upstreams[0], { ...fault, body })).status, 200)
  const answer = await openAnswer(cluster.entries[0]?.address ?? '', key)
  t.is(answer.headers['content-length'], String(answerBytes))
  let size = 0
  await t.throwsAsync(async () => {
    for await (const chunk of answer as AsyncIterable<Buffer>) size += chunk.length
  })
  t.true(size < answerBytes)
  t.false(answer.complete)
})
