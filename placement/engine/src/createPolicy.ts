/** Creates the placement policy for the objective given in the settings. */
import { CompletionTimePolicy } from './completionTimePolicy.js'
import { FragmentationPolicy } from './fragmentationPolicy.js'
import type { PlacementPolicy } from './placementPolicy.js'

export type Objective = 'completionTime' | 'fragmentation'

export function createPolicy(objective: Objective): PlacementPolicy {
  switch (objective) {
    case 'completionTime':
      return new CompletionTimePolicy()
    case 'fragmentation':
      return new FragmentationPolicy()
  }
}
