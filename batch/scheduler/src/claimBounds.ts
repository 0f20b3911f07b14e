/**
 * Bounds of the platform on the start of guaranteed work and on stops. They answer loads in which stops take a large part of
 * the time that guaranteed work has: what was stopped for a claim must not go to another, and a preference must end in time.
 */

export interface ClaimBounds {
  /** Guaranteed work has to start this long after its acceptance at the latest. */
  readonly guaranteedStartMsMax: number
  /** The longest time that a run takes to stop. */
  readonly stopMsMax: number
}

/**
 * Time for what a preemption needs besides the stop: a round is due every 500 ms even without an event, and placement,
 * stop and start are each committed or ordered over the network.
 */
const orderMarginMs = 700

/** For how long after its acceptance guaranteed work may do without preemption and still start in time. */
export function measureClaimWaitMsMax({ guaranteedStartMsMax, stopMsMax }: ClaimBounds): number {
  return Math.max(0, guaranteedStartMsMax - stopMsMax - orderMarginMs)
}

/** What decides whether a claim is due. */
export interface ClaimWait {
  readonly isGuaranteed: boolean
  /** Since the acceptance of the job. */
  readonly waitedMs: number
}

/** Whether a guaranteed unit has to get its capacity at once to start within its bound. */
export function isClaimDue(
  { isGuaranteed, waitedMs }: ClaimWait,
  bounds: ClaimBounds | undefined,
): boolean {
  return bounds !== undefined && isGuaranteed && waitedMs >= measureClaimWaitMsMax(bounds)
}
