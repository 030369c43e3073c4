/**
 * How one request counts towards its objective. Everything but `good` uses up error budget;
 * `caller` is a mistake of the caller and counts for neither side.
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
