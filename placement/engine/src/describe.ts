/** Describes gangs and blocks in the reasons of decisions. */
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
