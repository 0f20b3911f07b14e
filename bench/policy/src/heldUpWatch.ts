/** Watches which jobs are held up: they have nothing running though they may start and there is ample room. */
import type { StarvationReason, StarvingUnit } from '@nettlespur/batch.scheduler'
import {
  isStepDone,
  type BatchState,
  type JobRecord,
  type Placement,
} from '@nettlespur/batch.state'

/** As the users judge it at the end of a day. */
const heldUpAfterMs = 3000
const mostUsedShare = 0.5
const roomTimes = 2

/** A time of `heldUpAfterMs` or more for which a job was held up. */
export interface HeldUpSpell {
  readonly jobId: string
  readonly fromMs: number
  readonly toMs: number
  /** As the scheduler explains it at the end of `heldUpAfterMs`; undefined if it does not count the job as starving. */
  readonly reason: StarvationReason | undefined
}

export class HeldUpWatch {
  readonly #spells = new Map<string, HeldUpSpell>()
  readonly #ended: HeldUpSpell[] = []

  /** To be called after each round, with the units that starve by its account. */
  look(
    state: BatchState,
    placements: Iterable<Placement>,
    nowMs: number,
    starving: readonly StarvingUnit[],
  ): void {
    const use = sumUse(state, placements)
    for (const [jobId, job] of state.unsettled) {
      if (!hasRoom(job, use)) this.#end(jobId)
      else this.#continue(jobId, nowMs, starving)
    }
    for (const jobId of [...this.#spells.keys()]) {
      if (!state.unsettled.has(jobId)) this.#end(jobId)
    }
  }

  /** Jobs that are held up now. */
  count(): number {
    return [...this.#spells.values()].filter(isLong).length
  }

  /** All spells so far, in the order of their ends; those that go on are last. */
  listSpells(): HeldUpSpell[] {
    return [...this.#ended, ...[...this.#spells.values()].filter(isLong)]
  }

  #continue(jobId: string, nowMs: number, starving: readonly StarvingUnit[]): void {
    const known = this.#spells.get(jobId)
    const spell = { jobId, fromMs: nowMs, reason: undefined, ...known, toMs: nowMs }
    const isNewlyLong = isLong(spell) && !(known !== undefined && isLong(known))
    const reason = isNewlyLong
      ? starving.find((unit) => unit.jobId === jobId)?.explain()
      : spell.reason
    this.#spells.set(jobId, { ...spell, reason })
  }

  #end(jobId: string): void {
    const spell = this.#spells.get(jobId)
    this.#spells.delete(jobId)
    if (spell !== undefined && isLong(spell)) this.#ended.push(spell)
  }
}

function isLong({ fromMs, toMs }: HeldUpSpell): boolean {
  return toMs - fromMs >= heldUpAfterMs
}

/** By accelerators, which every job of a crowded day needs. */
interface PoolUse {
  readonly capacity: number
  readonly used: number
  readonly runningJobIds: ReadonlySet<string>
}

/** Leaves out upstreams that have left: their capacity is gone, and nothing runs there. */
function sumUse({ upstreams, jobs }: BatchState, placements: Iterable<Placement>): PoolUse {
  const runningJobIds = new Set<string>()
  let used = 0
  for (const { jobId, step } of placements) {
    runningJobIds.add(jobId)
    used += jobs.get(jobId)?.request.steps[step]?.needs.accelerators ?? 0
  }
  let capacity = 0
  for (const { description, hasLeft } of upstreams.values()) {
    if (!hasLeft) capacity += description.capacity.accelerators
  }
  return { capacity, used, runningJobIds }
}

function hasRoom(job: JobRecord, { capacity, used, runningJobIds }: PoolUse): boolean {
  if (job.status !== 'active' || runningJobIds.has(job.request.jobId)) return false
  const at = job.steps.findIndex((record) => !isStepDone(record))
  const step = job.request.steps[at]
  if (step === undefined || used >= capacity * mostUsedShare) return false
  const needed = step.needs.accelerators * (step.isGang ? step.taskCount : 1)
  return capacity - used >= needed * roomTimes
}
