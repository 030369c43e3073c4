/**
 * Result of one request with respect to its service level objective. All results except `good` and
 * `caller` consume error budget. `caller` is excluded from the totals: it stands for failures that
 * the caller caused and for requests rejected because the host is draining or a forwarding loop was
 * detected.
 */
export type ServiceResult =
  | 'good'
  | 'late-first-token'
  | 'slow-tokens'
  | 'refused-overload'
  | 'refused-no-server'
  | 'failed'
  | 'incomplete'
  | 'outcome-unknown'
  | 'caller';
