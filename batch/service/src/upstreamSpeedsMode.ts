/**
 * - `learn`: the leader learns how fast each upstream works, and commits it for the next leader.
 * - `ignore`: nothing is learned or proposed, and all upstreams count as of unknown speed.
 */
export type UpstreamSpeedsMode = 'learn' | 'ignore'
