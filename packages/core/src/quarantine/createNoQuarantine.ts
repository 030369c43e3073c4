import type { Quarantine } from './createQuarantine.js';

/** Baseline: no request is ever suspected. */
export function createNoQuarantine(): Quarantine {
  const nothing = (): void => undefined;
  return {
    check: nothing,
    isSuspect: () => false,
    hasRunningSuspect: () => false,
    trackRequest: () => ({
      markCompleted: nothing,
      markEnded: nothing,
      reportBroken: () => Promise.resolve(),
    }),
    mergePeerReport: (report) => report,
  };
}
