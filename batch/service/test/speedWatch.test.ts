/** Which upstreams are told to be slow, by the pace of what runs there. */
import type { RunTrack } from '@nettlespur/batch.sessions'
import test from 'ava'
import { SpeedWatch } from '../src/speedWatch.js'

const declaredMs = 8000

function createTrack(upstreamId: string, progressPercent: number, seenAfterMs: number): RunTrack {
  return {
    placement: { jobId: 'j', step: 0, index: 0, attempt: 1, upstreamId },
    phase: 'settled',
    settledAtMs: 0,
    startedAtMs: 0,
    firstPercent: 0,
    firstPercentAtMs: 0,
    progressPercent,
    progressAtMs: seenAfterMs,
    checkpoint: '',
    checkpointAtMs: 0,
    isResumed: false,
    hasBaseline: false,
    isStopping: false,
  }
}

function createWatch(actualMs: readonly number[]): SpeedWatch {
  const watch = new SpeedWatch()
  for (const ms of actualMs) watch.noteDone('q', declaredMs, ms)
  return watch
}

function look(watch: SpeedWatch, ...tracks: RunTrack[]): void {
  watch.update(
    tracks.map((track) => ({ track, queue: 'q', declaredMs })),
    2000,
  )
}

const trusted = [8000, 8400, 7600, 8100, 7900]

test('an upstream on which a run stands nearly still is slow for a while', (t) => {
  const watch = createWatch(trusted)
  look(watch, createTrack('slow', 4, 2000), createTrack('sound', 25, 2000))
  t.true(watch.isSlow('slow', 2000))
  t.false(watch.isSlow('sound', 2000))
  t.false(watch.isSlow('slow', 6001))
})

test('one run at a good pace clears the upstream', (t) => {
  const watch = createWatch(trusted)
  look(watch, createTrack('u', 4, 2000))
  look(watch, createTrack('u', 4, 2000), createTrack('u', 25, 2000))
  t.false(watch.isSlow('u', 2000))
})

test('nothing is said by queues whose declared times are far off, nor by the first moments of a run', (t) => {
  const wild = createWatch([1000, 20_000, 2000, 30_000, 900])
  look(wild, createTrack('u', 4, 2000))
  t.false(wild.isSlow('u', 2000))
  const watch = createWatch(trusted)
  look(watch, createTrack('u', 1, 500))
  t.false(watch.isSlow('u', 2000))
})
