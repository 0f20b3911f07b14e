import type { Shape } from '@nettlespur/api.schemas'

export function isSameShape(left: Shape, right: Shape): boolean {
  return left.accelerators === right.accelerators && left.adjacency === right.adjacency
}
