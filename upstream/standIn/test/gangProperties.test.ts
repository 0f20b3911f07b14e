import test from 'ava'
import type { ReserveTask } from '@nettlespur/api.schemas'
import { ManualClock } from '@nettlespur/core.clock'
import fc from 'fast-check'
import { Faults } from '../src/faults.js'
import { GangCalls } from '../src/gangCalls.js'
import { TaskTable } from '../src/taskTable.js'
import { createReservation } from './createTrial.js'

const accelerators = 4
const capacity = { slots: 1, cpuCores: 32, memoryBytes: 1000, accelerators }

/** Tasks of two jobs; a task's job follows from its number. */
const taskArbitrary = fc.nat({ max: 3 })
const fenceArbitrary = fc.integer({ min: 1, max: 2 })

const callArbitrary = fc.oneof(
  fc.record({
    verb: fc.constant('reserve' as const),
    task: taskArbitrary,
    fence: fenceArbitrary,
    acceleratorIndexes: fc.uniqueArray(fc.nat({ max: accelerators - 1 }), { maxLength: 2 }),
    leaseMs: fc.integer({ min: 1, max: 300 }),
  }),
  fc.record({ verb: fc.constant('start' as const), task: taskArbitrary, fence: fenceArbitrary }),
  fc.record({ verb: fc.constant('stop' as const), task: taskArbitrary, fence: fenceArbitrary }),
  fc.record({
    verb: fc.constant('renew' as const),
    task: taskArbitrary,
    fence: fenceArbitrary,
    leaseMs: fc.integer({ min: 1, max: 300 }),
  }),
  fc.record({ verb: fc.constant('wait' as const), durationMs: fc.integer({ min: 1, max: 200 }) }),
)
const sequenceArbitrary = fc.array(callArbitrary, { maxLength: 30, size: 'max' })
type Call = typeof callArbitrary extends fc.Arbitrary<infer T> ? T : never

/** What a stop promises: no start of the job under this fence or a lower one from here on. */
interface StopPromise {
  readonly jobId: string
  readonly fence: number
  readonly startsThen: number
}

test('no accelerator is held by two live tasks, whatever the order of calls', async (t) => {
  const runCalls = async (sequence: readonly Call[]): Promise<void> => {
    const trial = new CallTrial()
    for (const call of sequence) {
      await trial.apply(call)
      const held = trial.tasks.listReservations().flatMap((task) => task.acceleratorIndexes)
      t.deepEqual(held, [...new Set(held)])
    }
  }
  await fc.assert(fc.asyncProperty(sequenceArbitrary, runCalls), { numRuns: 1000 })
})

test('nothing of a job starts under a fence at which it was stopped, and no task starts twice', async (t) => {
  const runCalls = async (sequence: readonly Call[]): Promise<void> => {
    const trial = new CallTrial()
    const promises: StopPromise[] = []
    for (const call of sequence) {
      const isDone = await trial.apply(call)
      if (call.verb === 'stop' && isDone) promises.push(trial.notePromise(call))
    }
    for (const { jobId, fence, startsThen } of promises) {
      t.is(trial.countStarts(jobId, fence), startsThen)
    }
    t.true(trial.countStartsOfEach().every((startedCount) => startedCount <= 1))
  }
  await fc.assert(fc.asyncProperty(sequenceArbitrary, runCalls), { numRuns: 1000 })
})

class CallTrial {
  readonly #clock = new ManualClock()
  readonly tasks = new TaskTable({ clock: this.#clock })
  readonly #calls = new GangCalls({ tasks: this.tasks, capacity, faults: new Faults() })

  /** Whether the upstream did what the call asked. */
  async apply(call: Call): Promise<boolean> {
    if (call.verb === 'wait') {
      await this.#clock.advance(call.durationMs)
      return true
    }
    const taskId = `t${call.task}`
    const { fence } = call
    switch (call.verb) {
      case 'reserve':
        return this.#calls.reserve(taskId, toReservation(call)).isRight()
      case 'start':
        return this.#calls.start(taskId, fence).isRight()
      case 'stop':
        return this.#calls.stop(taskId, { fence, jobId: nameJob(call.task), graceMs: 0 }).isRight()
      case 'renew':
        this.#calls.renew({ leases: [{ taskId, fence, leaseMs: call.leaseMs }] })
        return true
    }
  }

  notePromise({ task, fence }: { task: number; fence: number }): StopPromise {
    const jobId = nameJob(task)
    return { jobId, fence, startsThen: this.countStarts(jobId, fence) }
  }

  /** Starts of a job under this fence or a lower one. */
  countStarts(jobId: string, fence: number): number {
    return this.tasks
      .listRuns()
      .filter((run) => run.jobId === jobId && run.fence <= fence)
      .reduce((total, { startedCount }) => total + startedCount, 0)
  }

  /** Starts of each task under each of its fences. */
  countStartsOfEach(): number[] {
    const counts = new Map<string, number>()
    for (const { taskId, fence, startedCount } of this.tasks.listRuns()) {
      const placement = `${taskId}@${fence}`
      counts.set(placement, startedCount + (counts.get(placement) ?? 0))
    }
    return [...counts.values()]
  }
}

function toReservation(call: Extract<Call, { verb: 'reserve' }>): ReserveTask {
  const { fence, acceleratorIndexes, leaseMs } = call
  const jobId = nameJob(call.task)
  const payload = JSON.stringify({ runTimeMs: 50 })
  return createReservation({ jobId, fence, acceleratorIndexes, leaseMs, payload })
}

function nameJob(task: number): string {
  return `j${task % 2}`
}
