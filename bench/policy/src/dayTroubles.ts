/** What goes wrong on a day besides the crowd: upstreams that fail, hang or turn slow, and seconds without a leader. */
import type { SeededRandom } from '@nettlespur/bench.placement'

export interface Span {
  readonly fromMs: number
  readonly toMs: number
}

/** `failing`: what starts there fails soon. `hanging`: what runs there stands still. `slow`: it takes several times as long. */
export type UpstreamTroubleKind = 'failing' | 'hanging' | 'slow'

export interface UpstreamTrouble extends Span {
  readonly kind: UpstreamTroubleKind
  readonly upstreamIds: ReadonlySet<string>
}

export interface DayTroubles {
  /** How fast each upstream works, against the usual. */
  readonly paces: ReadonlyMap<string, number>
  readonly upstreams: readonly UpstreamTrouble[]
  /** Nobody leads: nothing is decided, and no end is taken in. */
  readonly leaderless: readonly Span[]
  /** After how long jobs are cancelled, by their ids. */
  readonly cancelAfterMs: ReadonlyMap<string, number>
  /** Ids of jobs whose tasks bring down the upstreams that start them. */
  readonly crashingJobs: ReadonlySet<string>
}

export interface DrawTroublesOptions {
  upstreamIds: readonly string[]
  jobIds: readonly string[]
  lengthMs: number
}

const paces = [0.8, 1, 1.25]
const troubleChance = 0.5
const troubleMs = 6000
const upstreamShares: Readonly<Record<UpstreamTroubleKind, number>> = {
  failing: 0.085,
  hanging: 0.1,
  slow: 0.17,
}
const kinds: readonly UpstreamTroubleKind[] = ['failing', 'hanging', 'slow']
const leaderlessMs = { least: 1500, most: 4000 }
const cancelShare = 0.07
const crashingShare = 0.02
const cancelMs = { least: 500, most: 8000 }

export function drawTroubles(random: SeededRandom, opts: DrawTroublesOptions): DayTroubles {
  const { upstreamIds, jobIds, lengthMs } = opts
  const pick = <T>(choices: readonly T[]): T =>
    random.pick(choices.map((choice) => [choice, 1] as const))
  const paceOf = new Map(upstreamIds.map((upstreamId) => [upstreamId, pick(paces)]))
  const upstreams = kinds.flatMap((kind): UpstreamTrouble[] => {
    if (!random.chance(troubleChance)) return []
    const fromMs = random.between(0, lengthMs)
    const ids = upstreamIds.filter(() => random.chance(upstreamShares[kind]))
    return [{ kind, upstreamIds: new Set(ids), fromMs, toMs: fromMs + troubleMs }]
  })
  const fromMs = random.between(0, lengthMs)
  const toMs = fromMs + random.between(leaderlessMs.least, leaderlessMs.most)
  const cancelled = jobIds.filter(() => random.chance(cancelShare))
  const cancelAfterMs = new Map(
    cancelled.map((jobId) => [jobId, random.between(cancelMs.least, cancelMs.most)]),
  )
  return {
    paces: paceOf,
    upstreams,
    leaderless: random.chance(troubleChance) ? [{ fromMs, toMs }] : [],
    cancelAfterMs,
    crashingJobs: new Set(),
  }
}

/** Jobs whose tasks crash their upstreams. */
export function drawCrashingJobs(
  random: SeededRandom,
  jobIds: readonly string[],
): ReadonlySet<string> {
  return new Set(jobIds.filter(() => random.chance(crashingShare)))
}

/** None, for days on which all is well. */
export const noTroubles: DayTroubles = {
  paces: new Map(),
  upstreams: [],
  leaderless: [],
  cancelAfterMs: new Map(),
  crashingJobs: new Set(),
}

export function isWithin({ fromMs, toMs }: Span, nowMs: number): boolean {
  return nowMs >= fromMs && nowMs < toMs
}
