/** Exit codes of the command line (docs/configuration.md). */
export const exitCodes = {
  ok: 0,
  failure: 1,
  badInput: 2,
  changeRejected: 3,
  outcomeUnknown: 4,
} as const;
