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

/** Shares of the upstreams that a trouble of each kind strikes on a troubled day. */
export interface UpstreamTroubleShares extends Readonly<Record<UpstreamTroubleKind, number>> {
  /** Upstreams that go down and up by turns; a new process comes up each time. */
  readonly flapping: number
  /** Upstreams that leave at short notice. */
  readonly leaving: number
}

/** From `atMs` to `upAtMs` a process is dead; then a new one comes up at its address. */
export interface Flap {
  readonly upstreamId: string
  readonly atMs: number
  readonly upAtMs: number
}

export interface DayTroubles {
  /** How fast each upstream works, against the usual. */
  readonly paces: ReadonlyMap<string, number>
  readonly upstreams: readonly UpstreamTrouble[]
  /** In order of time. */
  readonly flaps: readonly Flap[]
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
  /** The usual shares by default; nothing flaps or leaves then. */
  shares?: UpstreamTroubleShares | undefined
}

const paces = [0.8, 1, 1.25]
const troubleChance = 0.5
const troubleMs = 6000
const flapTurnMs = 1000
const usualShares: UpstreamTroubleShares = {
  failing: 0.085,
  hanging: 0.1,
  slow: 0.17,
  flapping: 0,
  leaving: 0,
}
const kinds: readonly UpstreamTroubleKind[] = ['failing', 'hanging', 'slow']
const leaderlessMs = { least: 1500, most: 4000 }
const cancelShare = 0.07
const crashingShare = 0.02
const cancelMs = { least: 500, most: 8000 }

export function drawTroubles(random: SeededRandom, opts: DrawTroublesOptions): DayTroubles {
  const { upstreamIds, jobIds, lengthMs, shares = usualShares } = opts
  const paceOf = drawPaces(random, upstreamIds, paces)
  const upstreams = kinds.flatMap((kind): UpstreamTrouble[] => {
    if (!random.chance(troubleChance)) return []
    const fromMs = random.between(0, lengthMs)
    const ids = upstreamIds.filter(() => random.chance(shares[kind]))
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
    flaps: [],
    leaderless: random.chance(troubleChance) ? [{ fromMs, toMs }] : [],
    cancelAfterMs,
    crashingJobs: new Set(),
  }
}

/** Draws one of `choices` for each upstream. */
export function drawPaces(
  random: SeededRandom,
  upstreamIds: readonly string[],
  choices: readonly number[],
): Map<string, number> {
  const weighted = choices.map((choice) => [choice, 1] as const)
  return new Map(upstreamIds.map((upstreamId) => [upstreamId, random.pick(weighted)]))
}

/** Some upstreams flap from a random moment on, all at the same time. */
export function drawFlaps(
  random: SeededRandom,
  { upstreamIds, lengthMs, shares = usualShares }: DrawTroublesOptions,
): Flap[] {
  const fromMs = random.between(0, lengthMs - troubleMs)
  const ids = upstreamIds.filter(() => random.chance(shares.flapping))
  const turns = troubleMs / (2 * flapTurnMs)
  return Array.from({ length: turns }, (_, turn) => fromMs + 2 * turn * flapTurnMs).flatMap(
    (atMs) => ids.map((upstreamId) => ({ upstreamId, atMs, upAtMs: atMs + flapTurnMs })),
  )
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
  flaps: [],
  leaderless: [],
  cancelAfterMs: new Map(),
  crashingJobs: new Set(),
}

export function isWithin({ fromMs, toMs }: Span, nowMs: number): boolean {
  return nowMs >= fromMs && nowMs < toMs
}
