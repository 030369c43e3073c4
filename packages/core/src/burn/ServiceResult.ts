/**
 * Result of one request with respect to its service level objective. All results except `good` and
 * `caller` consume error budget. `caller` stands for a failure caused by the caller and is excluded
 * from the totals.
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
