/** Simulates one seed: a group with a random schedule of faults, and its recovery after them. */
import { checkRecovery } from './checkRecovery.js'
import { ControlGroup } from './controlGroup.js'
import { GroupFaults, groupFaultKinds, type GroupFaultKind } from './groupFaults.js'

const faultPhase = { shortestMs: 4000, longestMs: 20_000 }
const maxFaults = 14
/** Schedules often end with one of these faults. */
const finalKinds: readonly GroupFaultKind[] = [
  'kill-all',
  'power-all',
  'power',
  'stop',
  'lose-disk',
]
const finalFaultShare = 0.6

export interface SimulateGroupOptions {
  /** All by default. */
  kinds?: readonly GroupFaultKind[]
  /** See `ControlGroup`. */
  electionTimeoutMs?: number | undefined
  /** Called before the first fault. */
  onStarted?: (group: ControlGroup) => void
}

export interface GroupSimulation {
  readonly group: ControlGroup
  readonly readyAfterMs: number | undefined
}

export async function simulateGroup(
  seed: number,
  opts: SimulateGroupOptions = {},
): Promise<GroupSimulation> {
  const { kinds = groupFaultKinds } = opts
  const group = await ControlGroup.bootstrap(seed, opts.electionTimeoutMs)
  opts.onStarted?.(group)
  const faults = new GroupFaults(group)
  const { random, clock } = group
  const draw = (from: readonly GroupFaultKind[]): GroupFaultKind =>
    from[Math.floor(random() * from.length)] ?? 'kill'
  const faultPhaseMs =
    faultPhase.shortestMs + random() * (faultPhase.longestMs - faultPhase.shortestMs)
  const count = 1 + Math.floor(random() * maxFaults)
  for (let injected = 0; injected < count; injected++) {
    const kind = draw(kinds)
    clock.setTimer(random() * faultPhaseMs, () => {
      faults.inject(kind)
    })
  }
  await clock.advance(faultPhaseMs)
  const endings = finalKinds.filter((kind) => kinds.includes(kind))
  if (random() < finalFaultShare && endings.length > 0) faults.inject(draw(endings))
  await clock.advance(random() * 3000)
  await faults.heal()
  const { readyAfterMs } = await checkRecovery(group)
  return { group, readyAfterMs }
}
