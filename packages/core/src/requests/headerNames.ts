/** Names of the headers that the gateway reads and writes (docs/api.md). */
export const headerNames = {
  authorization: 'authorization',
  rank: 'x-camphorbarrow-rank',
  homeRegion: 'x-camphorbarrow-home-region',
  deadline: 'x-camphorbarrow-deadline-ms',
  path: 'x-camphorbarrow-path',
  customer: 'x-camphorbarrow-customer',
  /** Region that a forwarded request is intended for. */
  targetRegion: 'x-camphorbarrow-target-region',
  /** Entry host that served a forwarded request. */
  servedBy: 'x-camphorbarrow-served-by',
  /** Set when a forwarded request is rejected with a typed error. */
  refusal: 'x-camphorbarrow-refusal',
  requestId: 'x-camphorbarrow-request-id',
  idempotencyKey: 'idempotency-key',
} as const;
