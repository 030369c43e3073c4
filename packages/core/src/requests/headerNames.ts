/** Names of the headers the gateway reads and writes (docs/api.md). */
export const headerNames = {
  authorization: 'authorization',
  rank: 'x-camphorbarrow-rank',
  homeRegion: 'x-camphorbarrow-home-region',
  deadline: 'x-camphorbarrow-deadline-ms',
  path: 'x-camphorbarrow-path',
  customer: 'x-camphorbarrow-customer',
  requestId: 'x-camphorbarrow-request-id',
  idempotencyKey: 'idempotency-key',
} as const;
