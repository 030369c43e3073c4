import type { Quarantine } from './createQuarantine.js';

/** Baseline without quarantine: no request is ever a suspect. */
export function createNoQuarantine(): Quarantine {
  const noop = (): void => undefined;
  return {
    check: noop,
    isSuspect: () => false,
    hasRunningSuspect: () => false,
    isOnTrial: () => false,
    trackRequest: () => ({
      markStarted: noop,
      markCompleted: noop,
      markEnded: noop,
      reportBroken: () => Promise.resolve(),
    }),
    mergePeerReport: (report) => report,
  };
}
