/** Arithmetic on the resources that tasks need and upstreams have. */
import type { Resources } from '@nettlespur/batch.model'

/** Weight of an accelerator where work is measured in core-seconds, as agreed with the users. */
const coresPerAccelerator = 8
const millicoresPerCore = 1000

export const noResources: Resources = { cpuMillicores: 0, memoryMiB: 0, accelerators: 0 }

/** Returns `left + times * right`. */
export function addResources(left: Resources, right: Resources, times = 1): Resources {
  return {
    cpuMillicores: left.cpuMillicores + right.cpuMillicores * times,
    memoryMiB: left.memoryMiB + right.memoryMiB * times,
    accelerators: left.accelerators + right.accelerators * times,
  }
}

/** Returns how many tasks with these needs fit; 0 if any free amount is negative. */
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

/** Returns the size of a task in cores; an accelerator counts as `coresPerAccelerator`. */
export function measureCores({ cpuMillicores, accelerators }: Resources): number {
  return cpuMillicores / millicoresPerCore + accelerators * coresPerAccelerator
}
