/**
 * The rule LOST: a job has nothing running for 3 s while a task's turn has come, there is capacity for it twice over and under
 * half of the capacity is in use.
 */

const starvedMs = 3000
const gpusEach = 8

export class StarvationWatch {
  broken = []
  #fleet
  #left
  #tasksEach
  #sinceMs = new Map()

  constructor({ fleet, jobIds, tasksEach }) {
    this.#fleet = fleet
    this.#left = new Set(jobIds)
    this.#tasksEach = tasksEach
  }

  sample(nowMs) {
    const runs = this.#fleet.flatMap(({ worker }) => worker.runs)
    const going = runs.filter(({ endedMs }) => endedMs === undefined)
    const isHalfFree = going.length < (this.#fleet.length * gpusEach) / 2
    for (const jobId of this.#left) {
      const own = runs.filter(({ task }) => task.startsWith(jobId))
      const done = new Set(own.filter(({ how }) => how === 'done').map(({ task }) => task))
      const isWaiting =
        isHalfFree &&
        done.size < this.#tasksEach &&
        !going.some(({ task }) => task.startsWith(jobId))
      if (!isWaiting) this.#sinceMs.delete(jobId)
      else if (!this.#sinceMs.has(jobId)) this.#sinceMs.set(jobId, nowMs)
      const waitedMs = nowMs - (this.#sinceMs.get(jobId) ?? nowMs)
      if (waitedMs <= starvedMs) continue
      this.#left.delete(jobId)
      const progress = `${done.size} of ${this.#tasksEach} tasks done`
      this.broken.push(
        `LOST ${jobId}: accepted, ${progress}, nothing running for ${Math.round(waitedMs)} ms with ${going.length} of ${this.#fleet.length * gpusEach} accelerators in use`,
      )
    }
  }
}
