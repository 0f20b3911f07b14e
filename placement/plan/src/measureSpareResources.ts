/**
 * Each reserved accelerator also reserves an even share of its upstream's processors and memory.
 * Unstoppable gangs may only use what remains after these shares.
 */
import {
  computeDemandShare,
  type RunningGang,
  type UpstreamCapacity,
} from '@nettlespur/placement.topology'

export interface SpareResources {
  readonly cpuCores: number
  readonly memoryBytes: number
}

interface Usage {
  cpuCores: number
  memoryBytes: number
  reservedCount: number
}

/**
 * Processors and memory that unstoppable gangs of `workspace` may still use on this upstream, including the
 * workspace's own reserved share. Negative if the upstream is overcommitted.
 */
export function measureSpareResources(
  upstream: UpstreamCapacity,
  workspace: string,
): SpareResources {
  const usages = collectUsages(upstream)
  const { view, size } = upstream
  const spare = { cpuCores: view.cpuCores, memoryBytes: view.memoryBytes }
  for (const [name, usage] of usages) {
    const share = name === workspace ? 0 : usage.reservedCount / size
    spare.cpuCores -= Math.max(usage.cpuCores, view.cpuCores * share)
    spare.memoryBytes -= Math.max(usage.memoryBytes, view.memoryBytes * share)
  }
  return spare
}

/** Whether the upstream has the processors and memory to reserve `count` more accelerators for `workspace`. */
export function canReserveShare(
  upstream: UpstreamCapacity,
  workspace: string,
  count: number,
): boolean {
  const usages = collectUsages(upstream)
  getOrCreateUsage(usages, workspace).reservedCount += count
  const { view, size } = upstream
  let cpuCores = 0
  let memoryBytes = 0
  for (const usage of usages.values()) {
    const share = usage.reservedCount / size
    cpuCores += Math.max(usage.cpuCores, view.cpuCores * share)
    memoryBytes += Math.max(usage.memoryBytes, view.memoryBytes * share)
  }
  return cpuCores <= view.cpuCores + tolerance && memoryBytes <= view.memoryBytes + tolerance
}

/** Sums of fractional shares may exceed the capacity by a rounding error. */
const tolerance = 1e-6

/** For each workspace: its reserved accelerators, and the resources that its unstoppable gangs use. */
function collectUsages(upstream: UpstreamCapacity): Map<string, Usage> {
  const usages = new Map<string, Usage>()
  for (let index = 0; index < upstream.size; index += 1) {
    const reservedFor = upstream.reservedFor[index]
    if (reservedFor !== undefined) getOrCreateUsage(usages, reservedFor).reservedCount += 1
    const holder = upstream.holders[index]
    if (holder !== undefined && isUnstoppable(holder)) addHolderUsage(usages, holder)
  }
  return usages
}

function addHolderUsage(usages: Map<string, Usage>, holder: RunningGang): void {
  const usage = getOrCreateUsage(usages, holder.workspace)
  const { cpuCores, memoryBytes } = computeDemandShare(holder, 1)
  usage.cpuCores += cpuCores
  usage.memoryBytes += memoryBytes
}

export function isUnstoppable(gang: RunningGang): boolean {
  return gang.stoppability === 'never' && !gang.isStopping
}

function getOrCreateUsage(usages: Map<string, Usage>, workspace: string): Usage {
  const present = usages.get(workspace)
  if (present !== undefined) return present
  const created = { cpuCores: 0, memoryBytes: 0, reservedCount: 0 }
  usages.set(workspace, created)
  return created
}
