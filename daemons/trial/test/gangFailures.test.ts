import test, { type ExecutionContext } from 'ava'
import { GangTrial, waitUntil, type GangTrialOptions } from '../__utils__/index.js'

async function startTrial(t: ExecutionContext, opts: GangTrialOptions): Promise<GangTrial> {
  const trial = await GangTrial.start(opts)
  t.teardown(() => trial.close())
  return trial
}

/** Of one job, on all upstreams that live. */
async function listAllRuns(trial: GangTrial, jobId: string) {
  const lists = await Promise.all(
    trial.cluster.upstreams.map((upstream) => trial.listRuns(upstream, jobId)),
  )
  return lists.flat()
}

test('a control instance killed between reserve and start starts nothing twice; a stale fence starts nothing', async (t) => {
  const trial = await startTrial(t, { upstreams: 2 })
  const [first, second] = trial.cluster.upstreams
  if (first === undefined || second === undefined) throw new Error('no upstreams')
  await trial.setFaults(second, { loseAnswers: ['reserve'] })
  await trial.setFaults(first, { loseAnswers: ['reserve'] })
  const jobId = await trial.submit({ repeatable: false }, { runTimeMs: 100 })
  const reserved = await waitUntil('both tasks to be reserved', async () => {
    const runs = await listAllRuns(trial, jobId)
    return runs.length === 2 ? runs : undefined
  })
  await trial.control.process.kill()
  t.true(reserved.every((run) => run.startedCount === 0))

  const [run] = await trial.listRuns(first, jobId)
  if (run === undefined) throw new Error('no task')
  const path = `/v1/tasks/${run.taskId}/start`
  const stale = await trial.callUpstream(first, 'POST', path, { fence: run.fence - 1 })
  t.is((stale.json as { kind: string }).kind, 'fence-too-low')

  for (const upstream of [first, second]) await trial.setFaults(upstream, {})
  await trial.cluster.restart('control', trial.control)
  const ended = await trial.waitForJob(
    jobId,
    (job) => job.state !== 'queued' && job.endedAt !== undefined,
  )
  t.is(ended.state, 'finished')
  const started = (await listAllRuns(trial, jobId)).filter((one) => one.startedCount > 0)
  t.is(started.length, 2)
  t.true(started.every((one) => one.startedCount === 1 && one.fence === ended.placement?.fence))
})

test('a control instance killed while a gang runs takes it over again, and the gang runs once', async (t) => {
  const trial = await startTrial(t, { upstreams: 2 })
  const jobId = await trial.submit({ repeatable: false }, { runTimeMs: 3000 })
  await waitUntil('both tasks to start', async () => {
    const runs = await listAllRuns(trial, jobId)
    return runs.filter((run) => run.startedCount === 1).length === 2 ? true : undefined
  })
  await trial.control.process.kill()
  await trial.cluster.restart('control', trial.control)
  const ended = await trial.waitForJob(jobId, (job) => job.endedAt !== undefined)
  t.like(ended, { state: 'finished', attempts: 1 })
  const runs = await listAllRuns(trial, jobId)
  t.deepEqual(
    runs.map((run) => run.startedCount),
    [1, 1],
  )
})

test('an upstream killed in mid-gang stops the rest; the job runs whole elsewhere, or ends unknown', async (t) => {
  const trial = await startTrial(t, { upstreams: 4 })
  const gang = { accelerators: 16, adjacency: 'none' as const }
  const jobId = await trial.submit({ gang, repeatable: true }, { runTimeMs: 4000 })
  const onceId = await trial.submit({ gang, repeatable: false }, { runTimeMs: 60_000 })
  const placed = await trial.waitForJob(jobId, (job) => job.state === 'running')
  const once = await trial.waitForJob(onceId, (job) => job.state === 'running')
  const dead = trial.findUpstream(placed.placement?.members[0]?.upstreamId)
  const alive = trial.findUpstream(placed.placement?.members[1]?.upstreamId)
  const deadOnce = trial.findUpstream(once.placement?.members[0]?.upstreamId)
  await Promise.all([dead, deadOnce].map((upstream) => upstream.process.kill()))
  const unknown = await trial.waitForJob(onceId, (job) => job.endedAt !== undefined)
  t.is(unknown.state, 'unknown')
  const stopped = await waitUntil('the other member to be stopped', async () => {
    const runs = await trial.listRuns(alive, jobId)
    return runs.find((run) => run.taskId === `${jobId}.1.1` && run.endState === 'stopped')
  })
  t.is(stopped.startedCount, 1)
  const ended = await trial.waitForJob(jobId, (job) => job.endedAt !== undefined)
  t.is(ended.state, 'finished')
  t.true(ended.attempts > 1)
  t.false(ended.placement?.members.some((member) => member.upstreamId === dead.id))
})

test('a rack that goes takes its gang with it, and the gang runs whole in another rack', async (t) => {
  const upstreamSettings = (index: number) => ({ rack: index <= 2 ? 'r1' : 'r2' })
  const trial = await startTrial(t, { upstreams: 4, upstreamSettings })
  const gang = { accelerators: 16, adjacency: 'rack' as const }
  const jobId = await trial.submit({ gang }, { runTimeMs: 3000 })
  const placed = await trial.waitForJob(jobId, (job) => job.state === 'running')
  const rack =
    placed.placement?.members.map((member) => trial.findUpstream(member.upstreamId)) ?? []
  await Promise.all(rack.map((upstream) => upstream.process.kill()))
  const ended = await trial.waitForJob(jobId, (job) => job.endedAt !== undefined)
  t.is(ended.state, 'finished')
  const gone = new Set(rack.map((upstream) => upstream.id))
  t.false(ended.placement?.members.some((member) => gone.has(member.upstreamId)))
})

test('an upstream that fails all it starts is quarantined, also by the next leader, and let back by its probes', async (t) => {
  const trial = await startTrial(t, { upstreams: 3 })
  const [bad] = trial.cluster.upstreams
  if (bad === undefined) throw new Error('no upstream')
  await trial.setFaults(bad, { failStarts: true })
  const gang = { accelerators: 8, adjacency: 'upstream' as const }
  const submitMany = (count: number) =>
    Promise.all([...Array(count).keys()].map(() => trial.submit({ gang }, { runTimeMs: 200 })))
  const jobIds = await submitMany(12)
  await trial.control.process.waitFor('upstream.quarantined', (line) => line.upstreamId === bad.id)
  const states = await Promise.all(
    jobIds.map(
      async (id) => (await trial.waitForJob(id, (job) => job.endedAt !== undefined)).state,
    ),
  )
  t.true(states.every((state) => state === 'finished'))

  await trial.control.process.kill()
  await trial.cluster.restart('control', trial.control)
  await trial.control.process.waitFor('upstream.quarantined', (line) => line.upstreamId === bad.id)
  await trial.setFaults(bad, {})
  const back = new AbortController()
  const letBack = trial.control.process.waitFor(
    'upstream.changed',
    (line) => line.upstreamId === bad.id && line.before === 'quarantined' && line.state === 'ready',
  )
  void letBack.then(() => {
    back.abort()
  })
  const more: string[] = []
  while (!back.signal.aborted) {
    const few = await submitMany(6)
    await Promise.all(few.map((id) => trial.waitForJob(id, (job) => job.endedAt !== undefined)))
    more.push(...few)
  }
  const probe = await trial.control.process.waitFor('placement.decided', (line) =>
    (line.reason ?? '').includes('probes u1'),
  )
  t.truthy(probe.jobId)
  const ended = await Promise.all(
    more.map((id) => trial.waitForJob(id, (job) => job.endedAt !== undefined)),
  )
  t.true(ended.every((job) => job.state === 'finished'))
})

test('a gang that ignores its stop holds its accelerators until its lease is over, then runs whole elsewhere', async (t) => {
  const trial = await startTrial(t, { upstreams: 3 })
  const gang = { accelerators: 8, adjacency: 'upstream' as const }
  const jobId = await trial.submit({ gang }, { runTimeMs: 30_000 })
  const placed = await trial.waitForJob(jobId, (job) => job.state === 'running')
  const from = trial.findUpstream(placed.placement?.members[0]?.upstreamId)
  await trial.setFaults(from, { ignoreStops: true })
  await trial.callUpstream(from, 'POST', '/v1/standin/leave')
  await trial.control.process.waitFor('placement.preempted', (line) => line.jobId === jobId)
  const [held] = await trial.listRuns(from, jobId)
  t.like(held, { endState: 'running' })
  t.is((await trial.getJob(jobId)).state, 'stopping')
  const moved = await trial.waitForJob(
    jobId,
    (job) => job.attempts === 2 && job.state === 'running',
  )
  t.not(moved.placement?.members[0]?.upstreamId, from.id)
  const [ended] = await trial.listRuns(from, jobId)
  t.is(ended?.endState, 'lease-expired')
})

test('a guarantee is reclaimed from a borrower that ignores its stop as soon as its lease is over', async (t) => {
  const trial = await startTrial(t, { upstreams: 1 })
  await trial.putContract('small', 8)
  const [upstream] = trial.cluster.upstreams
  if (upstream === undefined) throw new Error('no upstream')
  const gang = { accelerators: 8, adjacency: 'upstream' as const }
  const borrower = await trial.submit({ gang }, { runTimeMs: 100_000 })
  await trial.waitForJob(borrower, (job) => job.state === 'running')
  await trial.setFaults(upstream, { ignoreStops: true })
  const owner = await trial.submit({ workspace: 'small', gang }, { runTimeMs: 10 })
  await trial.control.process.waitFor('placement.preempted', (line) => line.forJobId === owner)
  t.is((await trial.getJob(owner, 'small')).state, 'queued')
  const ended = await trial.waitForJob(owner, (job) => job.endedAt !== undefined, 'small')
  t.is(ended.state, 'finished')
  const [held] = await trial.listRuns(upstream, borrower)
  t.like(held, { taskId: `${borrower}.1.0`, endState: 'lease-expired' })
})

test('urgent work takes the place of work that may be stopped, and that work finishes later', async (t) => {
  const trial = await startTrial(t, { upstreams: 1 })
  const gang = { accelerators: 8, adjacency: 'upstream' as const }
  const checkpointable = await trial.submit(
    { gang, repeatable: false, checkpointable: true },
    { runTimeMs: 3000 },
  )
  await trial.waitForJob(checkpointable, (job) => job.state === 'running')
  const urgent = await trial.submit({ gang, urgency: 'urgent' }, { runTimeMs: 10 })
  const first = await trial.waitForJob(urgent, (job) => job.endedAt !== undefined)
  t.is(first.state, 'finished')
  const later = await trial.waitForJob(checkpointable, (job) => job.endedAt !== undefined)
  t.like(later, { state: 'finished', attempts: 2 })
})

test('a running gang outlives the death of its leader: another member takes it over, and it runs once', async (t) => {
  const trial = await startTrial(t, { upstreams: 2, controls: 3 })
  const jobId = await trial.submit({ repeatable: false }, { runTimeMs: 8000 })
  await trial.waitForJob(jobId, (job) => job.state === 'running')
  const { controls } = trial.cluster
  const leader = await Promise.any(
    controls.map(async (control) => {
      await control.process.waitFor('placement.decided', (line) => line.jobId === jobId)
      return control
    }),
  )
  await leader.process.kill()
  const ended = await trial.waitForJob(jobId, (job) => job.endedAt !== undefined)
  t.like(ended, { state: 'finished', attempts: 1 })
  const runs = await listAllRuns(trial, jobId)
  t.deepEqual(
    runs.map((run) => run.startedCount),
    [1, 1],
  )
})
