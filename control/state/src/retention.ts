/**
 * Retention limits of the replicated state. Limits that callers can reach are per workspace, so that one
 * workspace cannot evict the records of another.
 */

/** Number of contract change ids kept. A resent change whose id was dropped is refused by its revision. */
export const changeIdsMax = 4096
/** Number of ended jobs kept for each workspace. */
export const endedJobsMax = 500
/** Longest time that an ended job and its job key are kept: one day. */
export const endedJobMaxAgeMs = 86_400_000
/**
 * Job keys kept for each workspace. Further submissions with a new key are refused rather than evicting an
 * old key, because a job resubmitted under an evicted key would run twice.
 */
export const jobKeysMax = 10_000
/** Largest total size of one job's answer, in bytes. */
export const answerBytesMax = 262_144
/** Total bytes of job answers kept for each workspace; the oldest are dropped first. */
export const keptAnswerBytesMax = 4_194_304
/** Number of decisions kept in the trace of one job; the oldest are dropped first. */
export const decisionsMax = 32
/**
 * Claims kept for each workspace. Further requests with a new key are refused rather than evicting an old
 * claim, because a request resent under an evicted claim could run twice.
 */
export const claimsMax = 20_000
/**
 * Total bytes of answers kept with the claims of each workspace. Beyond this the bodies of the oldest are
 * dropped; they are then kept only by their upstreams.
 */
export const claimAnswersBytesMax = 4_194_304
