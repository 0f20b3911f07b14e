import type { JobRecord } from '@nettlespur/control.state'
import { unwrap } from '@nettlespur/core.errors'
import test from 'ava'
import fc from 'fast-check'
import {
  cancel,
  createGangFixture,
  allLeasesExpiredMs,
  preempt,
  submitGang,
  type GangFixture,
} from './createGangFixture.js'

const addresses = ['a0', 'a1', 'a2']
const acceleratorsPerUpstream = 2
const gangSize = 2

const jobIndex = fc.nat({ max: 5 })
const address = fc.constantFrom(...addresses)
const steps = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({
      do: fc.constant('submit' as const),
      repeatable: fc.boolean(),
      checkpointable: fc.boolean(),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      do: fc.constant('advance' as const),
      ms: fc.constantFrom(1, 300, 3000, 16_000),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      do: fc.constantFrom('finish' as const, 'fail' as const),
      index: jobIndex,
      rank: fc.nat({ max: 1 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      do: fc.constantFrom('cancel' as const, 'preempt' as const),
      index: jobIndex,
      withCheckpoint: fc.boolean(),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      do: fc.constantFrom(
        'unreachable' as const,
        'mute' as const,
        'refusing' as const,
        'ignoringStops' as const,
      ),
      address,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ do: fc.constantFrom('restart' as const, 'silence' as const), address }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      do: fc.constantFrom('heal' as const, 'newLeader' as const, 'cutOffFromQuorum' as const),
    }),
  },
)
type Step = typeof steps extends fc.Arbitrary<infer T> ? T : never

/** Runs gangs under one leader and places them on the first free accelerators. */
class GangSimulation {
  readonly gangs: GangFixture
  #manager: ReturnType<GangFixture['createManager']>

  constructor(gangs: GangFixture) {
    this.gangs = gangs
    this.#manager = gangs.createManager()
  }

  async apply(step: Step): Promise<void> {
    const { client, clock, silentUpstreams, upstreamChanges, log } = this.gangs
    switch (step.do) {
      case 'submit':
        if (!log.cutOff) await submitGang(this.gangs, step)
        break
      case 'advance':
        await clock.advance(step.ms)
        break
      case 'finish':
      case 'fail':
        this.#endTask(step.do, step.index, step.rank)
        break
      case 'cancel':
        await this.#withJob(step.index, (job) => cancel(this.gangs, job))
        break
      case 'preempt':
        await this.#withJob(step.index, (job) => preempt(this.gangs, job, step.withCheckpoint))
        break
      case 'restart':
        client.restartUpstream(step.address)
        break
      case 'silence':
        silentUpstreams.add(toUpstreamId(step.address))
        upstreamChanges.next(toUpstreamId(step.address))
        break
      case 'heal':
        this.#heal()
        break
      case 'newLeader':
        await this.#changeLeader()
        break
      case 'cutOffFromQuorum':
        log.cutOff = true
        break
      default:
        client[step.do].add(step.address)
    }
    await clock.advance(1)
    if (!log.cutOff) await this.#placeAll()
  }

  /** Ends all faults, then advances the clock beyond all leases, so that pending work ends or continues. */
  async healAndSettle(): Promise<void> {
    this.#heal()
    await this.gangs.clock.advance(allLeasesExpiredMs)
  }

  #heal(): void {
    const { client, silentUpstreams, log } = this.gangs
    const faults = [client.unreachable, client.mute, client.refusing, client.ignoringStops]
    for (const fault of [...faults, silentUpstreams]) fault.clear()
    log.cutOff = false
  }

  /** Ends the runners of the former leader at any point of their work and has another take their gangs over. */
  async #changeLeader(): Promise<void> {
    const former = this.#manager
    await former.stop()
    this.gangs.log.cutOff = false
    this.#manager = this.gangs.createManager()
    this.#manager.recover()
  }

  async #placeAll(): Promise<void> {
    const { holder, log, clock } = this.gangs
    this.#manager.recover()
    for (const job of holder.state.listLiveJobs()) {
      if (job.state !== 'queued') continue
      const assignments = pickFreeAccelerators(holder.state.listLiveJobs())
      if (assignments === undefined) return
      const at = clock.now().toISOString()
      const command = { type: 'job.place' as const, at, jobId: job.jobId, assignments, reason: '' }
      const result = await unwrap(log.propose(command))
      if (result.type === 'job') this.#manager.start(result.job)
    }
    await clock.advance(1)
  }

  #endTask(how: 'finish' | 'fail', index: number, rank: number): void {
    const jobs = this.gangs.holder.state.listLiveJobs()
    const taskId = jobs[index % Math.max(1, jobs.length)]?.placement?.members[rank]?.taskId ?? ''
    if (this.gangs.client.getState(taskId) === 'running') this.gangs.client[how](taskId, 'whole')
  }

  async #withJob(index: number, run: (job: JobRecord) => Promise<void>): Promise<void> {
    const jobs = this.gangs.holder.state.listLiveJobs()
    const job = jobs[index % Math.max(1, jobs.length)]
    if (job !== undefined && !this.gangs.log.cutOff) await run(job)
  }
}

function toUpstreamId(at: string): string {
  return at.replace('a', 'u')
}

/** Picks the first free accelerator on each of as many upstreams as the gang has members. */
function pickFreeAccelerators(jobs: readonly JobRecord[]) {
  const members = jobs.flatMap((job) => job.placement?.members ?? [])
  const free = addresses.flatMap((at) => {
    const used = members.filter((member) => member.address === at)
    const taken = new Set(used.flatMap((member) => member.acceleratorIndexes))
    const index = [...Array(acceleratorsPerUpstream).keys()].find((one) => !taken.has(one))
    if (index === undefined) return []
    return [{ upstreamId: toUpstreamId(at), address: at, acceleratorIndexes: [index] }]
  })
  return free.length < gangSize ? undefined : free.slice(0, gangSize)
}

/** Checks the invariants that hold at all times. Returns the violation, or undefined if there is none. */
function findViolation({ client, holder }: GangFixture): string | undefined {
  const held = new Set<string>()
  for (const { address: at, acceleratorIndexes, taskId } of client.listHolding()) {
    for (const index of acceleratorIndexes) {
      if (held.has(`${at}/${index}`))
        return `${taskId}: ${at}/${index} was assigned again too early`
      held.add(`${at}/${index}`)
    }
  }
  const { state } = holder
  const attempts = new Map<string, Set<string>>()
  for (const taskId of client.started) {
    const [jobId = '', attempt = ''] = taskId.split('.')
    const job = state.getJob('demo', jobId)
    if (job?.state === 'cancelled' && job.startedAt === undefined) return `${jobId} was started`
    const isResumed = client.reservations.get(taskId)?.checkpointId !== undefined
    if (job?.request.repeatable === true || isResumed) continue
    attempts.set(jobId, (attempts.get(jobId) ?? new Set()).add(attempt))
    if ((attempts.get(jobId)?.size ?? 0) > 1) return `${jobId} was started twice`
  }
  return undefined
}

/** Checks that, once all faults have ended, every gang is held in full or not at all. */
function findPartialGang({ client, holder }: GangFixture): string | undefined {
  const holding = new Set(client.listHolding().map((task) => task.taskId))
  for (const job of holder.state.listLiveJobs()) {
    const taskIds = (job.placement?.members ?? []).map((member) => member.taskId)
    const isWhole = taskIds.every((id) => holding.has(id) || client.getState(id) === 'finished')
    if (!isWhole) return `${job.jobId} is ${job.state} with a part of its gang`
    for (const taskId of taskIds) holding.delete(taskId)
  }
  const [orphan] = holding
  return orphan === undefined ? undefined : `${orphan} belongs to no gang`
}

test('under any faults, gangs run in full or not at all, accelerators are not reassigned early, and no unrepeatable job runs twice', async (t) => {
  const property = fc.asyncProperty(
    fc.array(steps, { minLength: 5, maxLength: 40 }),
    async (list) => {
      const simulation = new GangSimulation(await createGangFixture())
      for (const step of list) {
        await simulation.apply(step)
        const fault = findViolation(simulation.gangs)
        if (fault !== undefined) throw new Error(fault)
      }
      await simulation.healAndSettle()
      const fault = findViolation(simulation.gangs) ?? findPartialGang(simulation.gangs)
      if (fault !== undefined) throw new Error(fault)
    },
  )
  await t.notThrowsAsync(fc.assert(property, { numRuns: 200 }))
})
