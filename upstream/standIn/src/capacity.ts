/** What the stand-in can hold, and whether one more reservation fits. */
import type { ReserveTask } from '@nettlespur/api.schemas'

export interface Capacity {
  /** Short requests at a time. */
  slots: number
  cpuCores: number
  memoryBytes: number
  accelerators: number
}

/** Why `wanted` does not fit beside what is `held`; undefined where it fits. */
export function findShortage(
  capacity: Capacity,
  held: readonly ReserveTask[],
  wanted: ReserveTask,
): string | undefined {
  const indexes = new Set(wanted.acceleratorIndexes)
  if (indexes.size < wanted.acceleratorIndexes.length) return 'an accelerator is named twice'
  for (const index of indexes) {
    if (index >= capacity.accelerators) return `there is no accelerator ${index}`
  }
  const taken = held.flatMap((other) => other.acceleratorIndexes)
  const overlap = taken.find((index) => indexes.has(index))
  if (overlap !== undefined) return `accelerator ${overlap} is held by another task`
  const all = [...held, wanted]
  if (sum(all, 'cpuCores') > capacity.cpuCores) return 'too few processor cores are free'
  if (sum(all, 'memoryBytes') > capacity.memoryBytes) return 'too little memory is free'
  return undefined
}

function sum(reservations: readonly ReserveTask[], field: 'cpuCores' | 'memoryBytes'): number {
  return reservations.reduce((total, reservation) => total + reservation[field], 0)
}
