/** Sums over what tasks need and upstreams have. */
import type { Resources } from '@nettlespur/batch.model'

/** Agreed with the users: what one accelerator counts for when work is measured in core-seconds. */
const coresPerAccelerator = 8
const millicoresPerCore = 1000

export const noResources: Resources = { cpuMillicores: 0, memoryMiB: 0, accelerators: 0 }

/** `left` and `times` times `right`. */
export function addResources(left: Resources, right: Resources, times = 1): Resources {
  return {
    cpuMillicores: left.cpuMillicores + right.cpuMillicores * times,
    memoryMiB: left.memoryMiB + right.memoryMiB * times,
    accelerators: left.accelerators + right.accelerators * times,
  }
}

/** How many tasks of this size fit; negative room fits none. */
export function countFitting(free: Resources, needs: Resources): number {
  return Math.min(
    countForOneResource(free.cpuMillicores, needs.cpuMillicores),
    countForOneResource(free.memoryMiB, needs.memoryMiB),
    countForOneResource(free.accelerators, needs.accelerators),
  )
}

function countForOneResource(free: number, needed: number): number {
  return needed === 0 ? (free < 0 ? 0 : Infinity) : Math.max(0, Math.floor(free / needed))
}

/** What a task occupies, in cores: accelerators count as several. */
export function measureCores({ cpuMillicores, accelerators }: Resources): number {
  return cpuMillicores / millicoresPerCore + accelerators * coresPerAccelerator
}
