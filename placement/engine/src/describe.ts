/** How gangs and blocks are told in reasons. */
import type { Block, Demand } from '@nettlespur/placement.topology'

export function describeGang({ gang }: Demand): string {
  const place = gang.adjacency === 'none' ? 'anywhere' : `on one ${gang.adjacency}`
  return `${gang.accelerators} accelerators ${place}`
}

export function describeBlocks(blocks: readonly Block[]): string {
  return blocks
    .map((block) => `${block.upstreamId}[${block.acceleratorIndexes.join(',')}]`)
    .join(' ')
}
