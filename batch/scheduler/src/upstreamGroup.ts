/** A group of upstreams that a unit prefers, given by its members. A unit tries its groups in order. */
import type { UpstreamAllocation } from './upstreamAllocation.js'

export type UpstreamGroup = (upstream: UpstreamAllocation) => boolean

export const allUpstreams: UpstreamGroup = () => true
export const stableUpstreams: UpstreamGroup = ({ view }) => !view.isUnstable

/** Returns the groups without their unstable upstreams. */
export function toStable(groups: readonly UpstreamGroup[]): UpstreamGroup[] {
  return groups.map((group) => (upstream) => stableUpstreams(upstream) && group(upstream))
}
