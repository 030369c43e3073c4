/** Upper bounds of the numbers in a `RegionLoadSummary`. */
export const regionLoadLimits = {
  maxRequests: 9_999_999,
  maxWaitMs: 3_600_000,
} as const;
