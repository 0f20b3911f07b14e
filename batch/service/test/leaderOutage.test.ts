/**
 * What users saw: with two of five members cut off and a third without its disk nobody could lead for six seconds. One
 * entry believed the leader that had stepped down 175 times in that time, on the word of those it had led; each time it
 * asked all members anew, and callers were held to the end of their patience.
 */
import { createJob } from '@nettlespur/batch.samples'
import { NettlespurError } from '@nettlespur/core.errors'
import test, { type ExecutionContext } from 'ava'
import { startWatchedGroup, type MemberGroup } from '../__utils__/index.js'

const patienceMs = 1000
/** By then the outage is known to be no election. */
const electionsMs = 2000
const deadlineMs = 3000
const callEveryMs = 250
const all = [0, 1, 2, 3, 4]
/** Lines of one entry about its leader in an outage of 6 s. */
const linesMax = 20
/** Searches of one entry in that time, each of which asks every member once. */
const searchesMax = 45
/** With nobody waiting, the word on which calls are refused is as old as this at most: a pause and a search. */
const lookMs = 300
/** A refusal that is known already takes no wait. */
const atOnceMs = 50

interface Told {
  readonly cameMs: number
  readonly tookMs: number
  readonly kind: string
  readonly retryAfterMs: number
}

/** The leader says that it leads no more, and the others go on naming it. */
function stepDown(group: MemberGroup): void {
  group.member(0).answer = () => Promise.reject(new NettlespurError('not-leader', 'stepped down'))
  group.member(0).view = { ...group.member(0).view, leaderAddress: undefined }
}

async function submit({ client, clock }: MemberGroup, cameMs: number): Promise<Told> {
  const startMs = clock.monotonicMs()
  const jobId = `j${cameMs}`
  const call = { host: 'h', path: `/q/${jobId}`, request: createJob(jobId, {}) }
  const outcome = await client.submitJob(call, { deadlineMs }).run()
  const error = outcome.extract()
  const tookMs = clock.monotonicMs() - startMs
  return { cameMs, tookMs, kind: error?.kind ?? 'done', retryAfterMs: error?.retryAfterMs ?? 0 }
}

/** Calls come all through an outage and for a second after it. */
async function playOutage(t: ExecutionContext, lastsMs: number) {
  const group = await startWatchedGroup(t, all.length)
  const locatedBefore = group.member(0).located
  stepDown(group)
  const calls: Promise<Told>[] = []
  let located = 0
  for (let cameMs = 0; cameMs < lastsMs + 1000; cameMs += callEveryMs) {
    if (cameMs === lastsMs) {
      located = group.member(0).located - locatedBefore
      group.lead(1, 2, all)
    }
    calls.push(submit(group, cameMs))
    await group.settle(group.clock.sleep(callEveryMs))
  }
  const { outcome: told } = await group.settle(Promise.all(calls))
  const { named } = group.recorder
  const lines = ['leader.lost', 'leader.missing', 'leader.believed'].flatMap(named)
  return { told, lines, located }
}

test('in a long outage an entry searches and writes little, and tells callers at once what it knows', async (t) => {
  const lastsMs = 6000
  const { told, lines, located } = await playOutage(t, lastsMs)
  t.true(lines.length <= linesMax, `${lines.length} lines`)
  t.true(located <= searchesMax, `${located} searches`)
  for (const { cameMs, tookMs, kind, retryAfterMs } of told) {
    const what = `came at ${cameMs}, told ${kind} after ${tookMs} ms, ${retryAfterMs}`
    t.true(tookMs <= patienceMs + atOnceMs, what)
    t.true(kind === 'done' || (kind === 'not-leader' && retryAfterMs > 0), what)
    const isKnown = cameMs > electionsMs && cameMs < lastsMs
    if (isKnown) t.true(tookMs <= atOnceMs, what)
    if (cameMs > lastsMs + lookMs) t.is(kind, 'done', what)
  }
})

test('callers that are refused in a long outage are told to come back later and later, not all at once', async (t) => {
  const { told } = await playOutage(t, 6000)
  const refused = told.filter(({ kind }) => kind === 'not-leader')
  const early = refused.filter(({ cameMs }) => cameMs < 1000)
  const late = refused.filter(({ cameMs }) => cameMs > 4500 && cameMs < 5500)
  t.true(early.every(({ retryAfterMs }) => retryAfterMs === 500))
  t.true(late.every(({ retryAfterMs }) => retryAfterMs > 1500))
  t.true(new Set(late.map(({ retryAfterMs }) => retryAfterMs)).size > 1)
})

for (const lastsMs of [250, 750]) {
  test(`no caller notices an outage of ${lastsMs} ms but by its wait`, async (t) => {
    const { told } = await playOutage(t, lastsMs)
    t.deepEqual([...new Set(told.map(({ kind }) => kind))], ['done'])
  })
}

test('a leader that falls silent is not taken on the word of those that still name it', async (t) => {
  const group = await startWatchedGroup(t, all.length)
  group.link(0).silence()
  group.link(0).isDark = true
  const call = { host: 'h', path: '/q/a', jobId: 'a' }
  const read = group.client.getJobState(call, { deadlineMs }).run()
  await group.settle(group.clock.sleep(700))
  t.is(group.client.leaderAddress, undefined)
  group.lead(1, 2, [1, 2, 3, 4])
  const { outcome, tookMs } = await group.settle(read)
  t.is(outcome.extract(), 'completed')
  t.true(tookMs <= 250, `${tookMs} ms after the election`)
  t.is(group.client.leaderAddress, group.link(1).address)
})

test('a leader that was killed is not taken on the word of those that still name it', async (t) => {
  const group = await startWatchedGroup(t, all.length)
  group.link(0).refuse()
  const calls = [0, 1, 2, 3].map(async (at) => {
    await group.clock.sleep(at * 50)
    return submit(group, at)
  })
  await group.settle(group.clock.sleep(700))
  const lost = group.recorder.named('leader.lost').length
  t.true(lost <= 2, `${lost} times`)
  group.lead(1, 2, [1, 2, 3, 4])
  const { outcome: told } = await group.settle(Promise.all(calls))
  t.deepEqual([...new Set(told.map(({ kind }) => kind))], ['done'])
})
