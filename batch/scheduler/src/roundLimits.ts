/** Limits on what one round decides, so that neither its commands nor its duration grow with the size of a job. */

/**
 * Tasks placed in one round, except that a gang is placed as a whole. The others follow in the next round, which starts once
 * these are committed.
 */
export const placementsPerRoundMax = 500
