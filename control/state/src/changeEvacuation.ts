/** Orders or withdraws the evacuation of a data centre. */
import type { CommandOf } from './command.js'
import { refuse, type CommandResult } from './commandResult.js'
import type { StateData } from './stateData.js'

export function changeEvacuation(
  { evacuations }: StateData,
  { change }: CommandOf<'evacuation.change'>,
): CommandResult {
  const { dataCentre } = change
  if (evacuations.change(change) === 'stale-revision') {
    return refuse('overtaken', `another order for ${dataCentre} was accepted meanwhile`, {
      hint: 'look which one is in force, and order again',
    })
  }
  return { type: 'evacuation', evacuation: evacuations.find(dataCentre) }
}
