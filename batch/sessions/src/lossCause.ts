/** Why the leader ends runs whose end their upstream has not reported. */
export type LossCause =
  /** Another process answers at the upstream's address. Counts as a crash unless the upstream was draining. */
  | 'crashed'
  /** The upstream had announced its shutdown, and was silent until the lease had certainly expired. */
  | 'left'
  /** The upstream did not answer until its lease had certainly expired. It may have crashed, and it may run on. */
  | 'lease-over'
  /** The upstream answers, but its lists with unparsable rows omitted the run until the lease had certainly expired. */
  | 'unlisted'
  /** The upstream answers, and its lists contain neither the run nor its end. */
  | 'absent'
  /** The upstream refused the start order, or the order certainly never arrived. */
  | 'not-started'
