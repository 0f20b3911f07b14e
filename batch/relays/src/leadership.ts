/** What the leader's port has to know of the leadership for which it was opened. */
export interface Leadership {
  readonly term: number
  /** Number of upstreams that the leader knows and that have not left. */
  readonly countUpstreams: () => number
  /** Peer addresses of all members, this one included. */
  readonly listMemberAddresses: () => readonly string[]
}
