/**
 * Result of a call from its caller's point of view. `complete`: the complete response was received.
 * `not-run`, `unknown` and `run`: a typed error with that outcome. `broken`: the connection ended
 * without a typed error. `timed-out`: the caller's timeout expired. `unreachable`: no entry host
 * accepted a connection.
 */
export const CALL_LABELS = [
  'complete',
  'not-run',
  'unknown',
  'run',
  'broken',
  'timed-out',
  'unreachable',
] as const;

export type CallLabel = (typeof CALL_LABELS)[number];
