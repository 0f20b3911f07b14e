/**
 * How much of the past the replicated state keeps. Bounds that callers can fill are per workspace, so that
 * no workspace pushes out what belongs to another.
 */

/** Operator change ids kept, newest first; an older one resent is refused by its revision. */
export const changeIdsMax = 4096
/** Ended jobs kept for each workspace. */
export const endedJobsMax = 500
/** How long an ended job, and the key it was submitted under, are kept. */
export const endedJobMaxAgeMs = 86_400_000
/** Job keys kept for each workspace; a submission beyond it is refused, since a forgotten key could run twice. */
export const jobKeysMax = 10_000
/** Bytes of one job's whole answer. */
export const answerBytesMax = 262_144
/** Bytes of answers kept for each workspace; the oldest answers go first. */
export const keptAnswerBytesMax = 4_194_304
/** Decisions kept in the trace of one job, newest last. */
export const decisionsMax = 32
/** Claims kept for each workspace; a request beyond it is refused, since a forgotten claim could run twice. */
export const claimsMax = 20_000
/** Bytes of answers kept with the claims of each workspace; the oldest are then left to their upstreams. */
export const claimAnswersBytesMax = 4_194_304
