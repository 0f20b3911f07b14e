/** One contract for people, as the YAML that `contract apply` takes, under a heading of comments. */
import type { ContractView } from '@nettlespur/control.api'
import { stringify } from 'yaml'

export function formatContract(view: ContractView): string {
  const heading = [
    `# revision ${view.revision}`,
    `# in force at: ${formatEntries(view.inForceAt)}`,
    `# not yet in force at: ${formatEntries(view.notYetInForceAt)}`,
  ]
  return `${heading.join('\n')}\n${stringify(view.contract)}`
}

function formatEntries(entryIds: readonly string[]): string {
  return entryIds.length === 0 ? 'none' : entryIds.join(', ')
}
