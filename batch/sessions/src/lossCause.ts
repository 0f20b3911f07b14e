/** Why runs end that no list of their upstream shows as ended. */
export type LossCause =
  /** Another life of the upstream answers, and the former one had not said that it leaves. */
  | 'crashed'
  /** The upstream had said that it leaves. */
  | 'left'
  /** It has been silent until its lease was surely over. */
  | 'lease-over'
  /** It answers, but hides the run, and no lease was given for so long that the run has surely ended. */
  | 'unlisted'
  /** The upstream refused the start, or it surely never arrived. */
  | 'not-started'
