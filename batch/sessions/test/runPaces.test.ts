/** Guards against paces taken from ends that were read late. */
import type { Placement } from '@nettlespur/batch.state'
import test from 'ava'
import { PaceWatch } from '../src/paceWatch.js'
import type { RunPace } from '../src/paceMeter.js'
import { RunPaces } from '../src/runPaces.js'
import { createRunTrack } from '../src/runTrack.js'

const placement: Placement = { jobId: 'j', step: 0, index: 0, attempt: 1, upstreamId: 'u' }

class RecordingWatch extends PaceWatch {
  readonly paces: RunPace[] = []

  override isWanted(): boolean {
    return true
  }

  override notePace(_run: Placement, pace: RunPace): void {
    this.paces.push(pace)
  }

  override noteInvalidProgress(): void {
    throw new Error('no invalid progress expected')
  }
}

/** Follows a run that begins at 0, reads 10 % of it at `readAtMs`, and ends it at 8000. */
function followRun(readAtMs: number | undefined, unansweredAtMs: number): RunPace[] {
  const watch = new RecordingWatch()
  const paces = new RunPaces(watch)
  const pace = paces.createMeter(0)
  const track = createRunTrack({
    placement,
    phase: 'settled',
    startedAtMs: 0,
    isOnTrial: false,
    pace,
  })
  if (readAtMs !== undefined) {
    track.progressPercent = 10
    paces.noteProgress(track, readAtMs)
  }
  const end = { ...placement, outcome: 'done' as const }
  paces.noteEnd({ end, track, nowMs: 8000, unansweredAtMs })
  // The end is noted again if its commit fails.
  paces.noteEnd({ end, track, nowMs: 8500, unansweredAtMs: -Infinity })
  return watch.paces
}

// An upstream that was cut off for seconds would seem slow: its runs ended long before their ends could be read.
test('an end that is read after a call without an answer gives no pace', (t) => {
  t.deepEqual(followRun(undefined, 500), [])
  t.deepEqual(followRun(200, 500), [])
})

test('an end gives a pace if calls went unanswered only before the run was last seen', (t) => {
  t.deepEqual(followRun(undefined, -500), [{ progress: 1, elapsedMs: 8000 }])
  t.deepEqual(followRun(1000, 500), [{ progress: 0.9, elapsedMs: 7000 }])
})
