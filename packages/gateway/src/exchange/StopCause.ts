/** Why no further attempt was made for a request that was not delivered. */
export type StopCause =
  /** The request was delivered or cancelled, or its deadline has passed. */
  | 'ended'
  /** The route, or the outcome of the last attempt, allows no other one. */
  | 'not-repeatable'
  | 'no-server'
  | 'rate-limited'
  | 'rejection-limited'
  | 'servers-leaving'
  | 'servers-paused'
  /** Servers are listed, but this host reaches none of them. */
  | 'unreachable'
  /** No server of the version that began the stream is left. */
  | 'version-gone'
  /** It is not known which version began the stream. */
  | 'version-unknown'
  | 'overloaded'
  | 'retry-budget'
  | 'prompt-part'
  | 'quarantined';
