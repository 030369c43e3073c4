/** Names of the headers the gateway reads and writes (docs/api.md). */
export const headerNames = {
  authorization: 'authorization',
  rank: 'x-camphorbarrow-rank',
  homeRegion: 'x-camphorbarrow-home-region',
  deadline: 'x-camphorbarrow-deadline-ms',
  path: 'x-camphorbarrow-path',
  customer: 'x-camphorbarrow-customer',
  /** Region a forwarded request is meant for. */
  targetRegion: 'x-camphorbarrow-target-region',
  /** Entry host that answered a forwarded request. */
  servedBy: 'x-camphorbarrow-served-by',
  /** Set on typed refusals of a forwarded request. */
  refusal: 'x-camphorbarrow-refusal',
  requestId: 'x-camphorbarrow-request-id',
  idempotencyKey: 'idempotency-key',
} as const;
