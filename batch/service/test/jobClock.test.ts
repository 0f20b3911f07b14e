/** Waiting times of jobs, which every member tracks. */
import { createConfig, createJob } from '@nettlespur/batch.samples'
import { BatchState, type Command } from '@nettlespur/batch.state'
import test from 'ava'
import { JobClock } from '../src/jobClock.js'

function createFixture() {
  const state = new BatchState()
  const jobClock = new JobClock()
  const apply = (command: Command, nowMs: number): void => {
    state.apply(command)
    jobClock.noteApplied(command, state, nowMs)
  }
  apply({ type: 'apply-config', config: createConfig(1) }, 0)
  return { state, jobClock, apply }
}

function submit(jobId: string): Command {
  return { type: 'submit-job', request: createJob(jobId, {}), workspace: 'w1', queueName: 'queue0' }
}

test('a member that becomes leader later knows how long a job has waited', (t) => {
  const { state, jobClock, apply } = createFixture()
  apply(submit('j'), 1000)
  jobClock.update(state, 6000)
  t.is(jobClock.waitedMs('j', 6000), 5000)
})

test('a job that is submitted twice has waited since the first submission', (t) => {
  const { jobClock, apply } = createFixture()
  apply(submit('j'), 1000)
  apply(submit('j'), 3000)
  t.is(jobClock.waitedMs('j', 4000), 3000)
})

test('a forgotten job leaves no entry on a member that never leads', (t) => {
  const { jobClock, apply } = createFixture()
  apply(submit('j'), 1000)
  apply({ type: 'cancel-job', jobId: 'j' }, 2000)
  apply({ type: 'forget-jobs', jobIds: ['j'] }, 3000)
  t.is(jobClock.acceptedAtMs.size, 0)
})

test('a job that came with a snapshot has waited since the first update after it', (t) => {
  const { state } = createFixture()
  state.apply(submit('j'))
  const jobClock = new JobClock()
  jobClock.update(state, 6000)
  t.is(jobClock.waitedMs('j', 6500), 500)
})
