/** Runs one case: starts the system, plays the case, ends everything, and exits with the verdict. */
import { sleep } from './http.mjs'
import { Record } from './record.mjs'
import { System } from './system.mjs'

/** The whole script runs for 120 s at most. */
const limitMs = 110_000

export const exitCodes = { held: 0, broken: 1, notRun: 2 }

/**
 * The record goes to `recordFile`. `play` is called with `{ system, record, hasTrouble, own }` and resolves to a list of what
 * broke the rule. `own` takes what has to be closed at the end. An error means that the case could not run.
 */
export async function runCase(recordFile, play) {
  const record = new Record(recordFile)
  const hasTrouble = process.env.TROUBLE !== '0'
  const owned = []
  let system
  let code = exitCodes.notRun
  try {
    record.note(`trouble: ${hasTrouble ? 'yes' : 'no'}`)
    system = await System.start(record)
    const own = (thing) => {
      owned.push(thing)
      return thing
    }
    const late = sleep(limitMs).then(() => {
      throw new Error('the case took too long')
    })
    const broken = await Promise.race([play({ system, record, hasTrouble, own }), late])
    for (const line of broken) record.note(`BROKEN ${line}`)
    if (broken.length === 0) record.note('the rule held')
    code = broken.length === 0 ? exitCodes.held : exitCodes.broken
  } catch (thrown) {
    record.note(`the case could not run: ${thrown instanceof Error ? thrown.stack : thrown}`)
  }
  for (const thing of owned.reverse()) await thing.close()
  await system?.stop()
  record.close()
  process.exit(code)
}
