/** Gives property tests the same cases on every run; FAST_CHECK_SEED=N explores others. */
import fc from 'fast-check'

const defaultSeed = 20261202
fc.configureGlobal({ seed: Number(process.env.FAST_CHECK_SEED ?? defaultSeed) })
