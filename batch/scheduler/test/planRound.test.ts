/** One round of decisions over small fleets. */
import type { JobRequest } from '@nettlespur/batch.model'
import { createConfig, createJob, createUpstream } from '@nettlespur/batch.samples'
import { BatchState, type Placement } from '@nettlespur/batch.state'
import test from 'ava'
import { addResources, noResources, planRound, type ActiveRun } from '../src/index.js'

class Fleet {
  readonly state = new BatchState()
  nowMs = 0
  readonly #acceptedAtMs = new Map<string, number>()
  readonly #stopping = new Set<string>()

  constructor(...racks: string[]) {
    this.state.apply({ type: 'apply-config', config: createConfig(1) })
    racks.forEach((rack, at) => {
      const description = createUpstream(`u${at}`, rack)
      this.state.apply({ type: 'note-upstream', description })
    })
  }

  submit(request: JobRequest, priority = 1): void {
    const queueName = `queue${priority}`
    this.state.apply({ type: 'submit-job', request, workspace: 'w1', queueName })
    this.#acceptedAtMs.set(request.jobId, this.nowMs)
  }

  /** Decides once and puts the placements into the state. */
  decide() {
    const decision = planRound({
      nowMs: this.nowMs,
      jobs: [...this.state.unsettled.values()],
      acceptedAtMs: this.#acceptedAtMs,
      rooms: [...this.state.upstreams.values()].map(({ description }) => this.#room(description)),
      runs: this.#runs(),
      guarantees: new Map([['w1', 16]]),
    })
    this.state.apply({ type: 'place-tasks', placements: decision.placements })
    for (const run of decision.preemptions) this.#stopping.add(name(run))
    return decision
  }

  end(run: Placement, outcome: 'done' | 'failed' | 'stopped'): void {
    this.state.apply({ type: 'end-runs', ends: [{ ...run, outcome, checkpoint: '' }] })
  }

  #room(description: ReturnType<typeof createUpstream>) {
    let used = noResources
    let stopping = noResources
    for (const run of this.state.placements.on(description.upstreamId).values()) {
      const needs = this.state.jobs.get(run.jobId)?.request.steps[run.step]?.needs ?? noResources
      used = addResources(used, needs)
      if (this.#stopping.has(name(run))) stopping = addResources(stopping, needs)
    }
    const free = addResources(description.capacity, used, -1)
    return { ...description, free, soon: addResources(free, stopping) }
  }

  #runs(): ActiveRun[] {
    return [...this.state.upstreams.keys()].flatMap((upstreamId) =>
      [...this.state.placements.on(upstreamId).values()].map((placement) => ({
        placement,
        needs:
          this.state.jobs.get(placement.jobId)?.request.steps[placement.step]?.needs ?? noResources,
        expectedEndMs: 1000,
        stopCostCoreSeconds: 1,
        isStopping: this.#stopping.has(name(placement)),
      })),
    )
  }
}

function name({ jobId, step, index, attempt }: Placement): string {
  return `${jobId}.${step}.${index}#${attempt}`
}

function gang(taskCount: number, accelerators: number, more = {}) {
  const needs = { cpuMillicores: 1000, memoryMiB: 1000, accelerators }
  return { taskCount, needs, isGang: true, ...more }
}

test('a gang is placed whole or not at all', (t) => {
  const fleet = new Fleet('r1', 'r1')
  fleet.submit(createJob('large', gang(3, 8)))
  t.deepEqual(fleet.decide().placements, [])
  fleet.submit(createJob('small', gang(2, 8)))
  t.deepEqual(
    fleet.decide().placements.map(({ jobId, index, attempt }) => [jobId, index, attempt]),
    [
      ['small', 0, 1],
      ['small', 1, 1],
    ],
  )
})

test('a step begins only after the steps it depends on are done', (t) => {
  const fleet = new Fleet('r1')
  fleet.submit(createJob('j', {}, { dependsOn: [0] }))
  const [first] = fleet.decide().placements
  t.is(first?.step, 0)
  t.deepEqual(fleet.decide().placements, [])
  if (first !== undefined) fleet.end(first, 'done')
  t.deepEqual(
    fleet.decide().placements.map(({ step }) => step),
    [1],
  )
})

test('tasks that are slow across racks stay in one, and are split only where no rack could take them', (t) => {
  const fleet = new Fleet('r1', 'r2', 'r2')
  fleet.submit(createJob('one-rack', gang(2, 8, { prefersOneRack: true })))
  t.deepEqual(
    fleet.decide().placements.map(({ upstreamId }) => upstreamId),
    ['u1', 'u2'],
  )
  const wide = new Fleet('r1', 'r2', 'r2')
  wide.submit(createJob('wide', gang(3, 8, { prefersOneRack: true })))
  t.is(wide.decide().placements.length, 3)
})

test('labels, the data rack and the limit of tasks on one upstream are kept', (t) => {
  const fleet = new Fleet('r1', 'r2')
  fleet.submit(createJob('label', { requiredLabel: 'r2' }))
  fleet.submit(createJob('rack', { dataRack: 'r1' }))
  fleet.submit(createJob('apart', { taskCount: 3, tasksPerUpstreamMax: 1 }))
  const placed = fleet.decide().placements
  const on = (jobId: string) =>
    placed.filter((run) => run.jobId === jobId).map(({ upstreamId }) => upstreamId)
  t.deepEqual(on('label'), ['u1'])
  t.deepEqual(on('rack'), ['u0'])
  t.deepEqual(on('apart').sort(), ['u0', 'u1'])
})

test('guaranteed work has others stopped, keeps their room, and starts there', (t) => {
  const fleet = new Fleet('r1')
  fleet.submit(createJob('borrower', gang(1, 8)))
  const [borrower] = fleet.decide().placements
  fleet.submit(createJob('guaranteed', gang(1, 8)), 0)
  const decision = fleet.decide()
  t.deepEqual(
    decision.preemptions.map(({ jobId }) => jobId),
    ['borrower'],
  )
  t.deepEqual(fleet.decide(), { placements: [], preemptions: [] })
  fleet.submit(createJob('later', {}))
  if (borrower !== undefined) fleet.end(borrower, 'stopped')
  t.deepEqual(
    fleet.decide().placements.map(({ jobId }) => jobId),
    ['guaranteed'],
  )
})

test('nothing is stopped for work beyond the guarantee, nor for other priorities', (t) => {
  const fleet = new Fleet('r1', 'r1', 'r1')
  fleet.submit(createJob('borrower', gang(3, 8)))
  fleet.decide()
  fleet.submit(createJob('too-large', gang(3, 8)), 0)
  fleet.submit(createJob('normal', gang(1, 8)), 1)
  t.deepEqual(fleet.decide().preemptions, [])
})

test('only as many are stopped as are needed', (t) => {
  const fleet = new Fleet('r1', 'r1')
  for (const at of [0, 1, 2, 3]) fleet.submit(createJob(`borrower${at}`, gang(1, 4)))
  fleet.decide()
  fleet.submit(createJob('guaranteed', gang(1, 4)), 0)
  t.is(fleet.decide().preemptions.length, 1)
})

test('a task goes elsewhere after it failed, and back only where nowhere else could take it', (t) => {
  const fleet = new Fleet('r1', 'r1')
  fleet.submit(createJob('j', { taskCount: 1 }))
  const [first] = fleet.decide().placements
  if (first !== undefined) fleet.end(first, 'failed')
  const [second] = fleet.decide().placements
  t.not(second?.upstreamId, first?.upstreamId)
  t.is(second?.attempt, 2)
  const alone = new Fleet('r1')
  alone.submit(createJob('j', {}))
  const [only] = alone.decide().placements
  if (only !== undefined) alone.end(only, 'failed')
  t.is(alone.decide().placements.length, 1)
})

test('room is kept for a gang that waits, and only what ends in time starts there meanwhile', (t) => {
  const fleet = new Fleet('r1', 'r1')
  fleet.submit(createJob('first', gang(1, 4)))
  fleet.decide()
  fleet.submit(createJob('waits', gang(2, 8)))
  fleet.submit(createJob('long', { expectedRunTimeMs: 5000 }))
  fleet.submit(createJob('short', { expectedRunTimeMs: 900 }))
  t.deepEqual(
    fleet.decide().placements.map(({ jobId }) => jobId),
    ['short'],
  )
})

test('a gang that is late beyond hope still gets its room, against small work that keeps coming', (t) => {
  const fleet = new Fleet('r1', 'r1')
  const needs = { cpuMillicores: 1000, memoryMiB: 1000, accelerators: 1 }
  fleet.submit(createJob('small', { taskCount: 16, needs }))
  const [first] = fleet.decide().placements
  fleet.submit(createJob('gang', gang(2, 8)))
  fleet.nowMs = 1_000_000
  fleet.submit(createJob('more', { taskCount: 1, needs, expectedRunTimeMs: 5000 }))
  if (first !== undefined) fleet.end(first, 'done')
  t.deepEqual(fleet.decide().placements, [])
})

test('a gang that waits beyond its patience still comes after guaranteed work', (t) => {
  const fleet = new Fleet('r1', 'r1')
  fleet.submit(createJob('old', gang(2, 8)))
  fleet.nowMs = 1_000_000
  fleet.submit(createJob('guaranteed', gang(1, 8)), 0)
  t.deepEqual(
    fleet.decide().placements.map(({ jobId }) => jobId),
    ['guaranteed'],
  )
})

test('a gang late beyond hope lets others go first until its patience is over', (t) => {
  const startedAt = (nowMs: number): string[] => {
    const fleet = new Fleet('r1')
    fleet.submit(createJob('old', gang(1, 8)))
    fleet.nowMs = nowMs
    fleet.submit(createJob('timely', gang(1, 8)))
    return fleet.decide().placements.map(({ jobId }) => jobId)
  }
  // Its objective is 3 s, its run 1 s: a start is of no use any more from 8 s on, and it is patient for 15 s.
  t.deepEqual(startedAt(22_900), ['timely'])
  t.deepEqual(startedAt(23_100), ['old'])
})

test('while half of the room is free, the oldest gang keeps a rack against smaller work', (t) => {
  const fleet = new Fleet('r1', 'r1', 'r2', 'r2', 'r2', 'r2')
  const needs = { cpuMillicores: 1000, memoryMiB: 1000, accelerators: 1 }
  const inRack = (requiredLabel: string, taskCount: number) => ({ taskCount, needs, requiredLabel })
  fleet.submit(createJob('first', inRack('r1', 1)), 0)
  fleet.decide()
  fleet.submit(createJob('small', { ...inRack('r1', 16), expectedRunTimeMs: 5000 }), 0)
  fleet.submit(createJob('gang', { ...gang(2, 8), requiredLabel: 'r1' }), 1)
  const placed = fleet.decide().placements
  t.deepEqual(placed, [])
})

test('a gang that no empty rack could take stands before nobody', (t) => {
  const fleet = new Fleet('r1')
  fleet.submit(createJob('impossible', gang(2, 8)))
  fleet.submit(createJob('old', gang(1, 8)))
  fleet.nowMs = 1_000_000
  fleet.submit(createJob('timely', gang(1, 8)))
  t.deepEqual(
    fleet.decide().placements.map(({ jobId }) => jobId),
    ['old'],
  )
})

/**
 * What users saw: a gang of four whole upstreams waited for 29 s, to the end of the day, while half of the room was
 * free. Each rack held something, and the gang prefers one rack: it was kept from all others, although it would only
 * have been slower there.
 */
test('a gang that has waited for a rack as long as two would cost it starts in two, where half of the room is free', (t) => {
  const racks = ['r1', 'r2', 'r3', 'r4']
  const fleet = new Fleet(...racks.flatMap((rack) => [rack, rack]))
  const needs = { cpuMillicores: 1000, memoryMiB: 1000, accelerators: 8 }
  for (const requiredLabel of racks) {
    fleet.submit(createJob(`in-${requiredLabel}`, { taskCount: 1, needs, requiredLabel }), 0)
  }
  t.is(fleet.decide().placements.length, racks.length)
  fleet.submit(createJob('gang', { ...gang(2, 8), prefersOneRack: true, expectedRunTimeMs: 5000 }))
  fleet.nowMs = 9_900
  t.deepEqual(fleet.decide().placements, [])
  fleet.nowMs = 10_100
  t.is(fleet.decide().placements.length, 2)
})
