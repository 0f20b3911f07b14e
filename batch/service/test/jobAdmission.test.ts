/** Guards against jobs that end all members as they hold them in memory, and against refusals of jobs that run all the same. */
import { tasksPerGangMax, tasksPerJobMax } from '@nettlespur/batch.model'
import { createConfig, createJob } from '@nettlespur/batch.samples'
import { BatchState } from '@nettlespur/batch.state'
import test from 'ava'
import { JobAdmission } from '../src/jobAdmission.js'

function createAdmission() {
  const state = new BatchState()
  state.apply({ type: 'apply-config', config: createConfig(1) })
  const admission = new JobAdmission({
    getState: () => state,
    confirmRead: () => Promise.resolve(),
  })
  const submit = (jobId: string, taskCount: number, isGang = false): Promise<string> => {
    const request = createJob(jobId, { taskCount, isGang })
    return admission.propose(request, () =>
      Promise.resolve(
        state.apply({ type: 'submit-job', request, workspace: 'w1', queueName: 'queue1' }),
      ),
    )
  }
  return { state, admission, submit }
}

test('a job or a gang beyond the limit is refused, and one at the limit is accepted', async (t) => {
  const { submit } = createAdmission()
  await t.throwsAsync(submit('wide', tasksPerJobMax + 1), { message: /50001/ })
  await t.throwsAsync(submit('gang', tasksPerGangMax + 1, true), { message: /1001/ })
  t.is(await submit('largest', tasksPerJobMax), 'done')
  t.is(await submit('largest gang', tasksPerGangMax, true), 'done')
})

test('however many large jobs are handed in, small ones of other callers are accepted', async (t) => {
  const { state, submit } = createAdmission()
  let refused = 0
  for (let at = 0; at < 100; at++) {
    await submit(`large${at}`, tasksPerJobMax / (1 + (at % 10))).catch((error: unknown) => {
      t.like(error, { kind: 'queue-full', answer: { httpStatus: 429, ran: 'no' } })
      refused += 1
    })
  }
  t.true(refused > 0)
  for (let at = 0; at < 100; at++) t.is(await submit(`small${at}`, 10), 'done')
  const cancelled = [...state.jobs.keys()].filter((jobId) => jobId.startsWith('large'))
  for (const jobId of cancelled) state.apply({ type: 'cancel-job', jobId })
  state.apply({ type: 'forget-jobs', jobIds: cancelled })
  t.is(await submit('after', tasksPerJobMax), 'done')
})

test('a job that is stored, or may yet be by an earlier call, is not refused when it is sent again', async (t) => {
  const { admission, submit } = createAdmission()
  const request = createJob('wide', { taskCount: tasksPerJobMax })
  let commit: (outcome: string) => void = () => undefined
  const first = admission.propose(
    request,
    () =>
      new Promise((resolve) => {
        commit = resolve
      }),
  )
  for (let at = 0; at < 10; at++) await submit(`large${at}`, tasksPerJobMax).catch(() => undefined)
  t.is(await submit('wide', tasksPerJobMax), 'done')
  t.is(await submit('wide', tasksPerJobMax), 'unchanged')
  commit('done')
  t.is(await first, 'done')
})

test('jobs that are being proposed count, so that many at a time do not pass the limit together', async (t) => {
  const { admission } = createAdmission()
  const propose = (at: number): Promise<never> => {
    const request = createJob(`large${at}`, { taskCount: tasksPerJobMax })
    return admission.propose(request, () => new Promise<never>(() => undefined))
  }
  const refusals = Array.from({ length: 10 }, (_, at) => propose(at).catch(() => 'refused'))
  t.is(await Promise.race(refusals), 'refused')
})
