import test from 'ava'
import {
  errorAnswers,
  errorKinds,
  exitCodes,
  fromErrorBody,
  NettlespurError,
  toErrorBody,
} from '../src/index.js'

test('every 4xx answer other than a lost race after a start says that nothing ran', (t) => {
  for (const kind of errorKinds) {
    const { httpStatus, ran } = errorAnswers[kind]
    if (httpStatus >= 400 && httpStatus < 500 && ran !== 'no') {
      t.true(['cancelled-after-start', 'answer-expired'].includes(kind), kind)
    }
  }
})

test('an unknown outcome never maps to the exit code of a refusal', (t) => {
  for (const kind of errorKinds) {
    const { ran, exitCode } = errorAnswers[kind]
    if (ran === 'unknown') t.not(exitCode, exitCodes.refused, kind)
  }
})

test('an error survives its wire form with kind, message, hint and time to come back', (t) => {
  for (const kind of errorKinds) {
    const before = new NettlespurError(kind, 'because', { hint: 'do this', retryAfterMs: 5 })
    const after = fromErrorBody(toErrorBody(before))
    t.deepEqual(
      [after.kind, after.message, after.hint, after.retryAfterMs],
      [kind, 'because', 'do this', 5],
    )
  }
})
