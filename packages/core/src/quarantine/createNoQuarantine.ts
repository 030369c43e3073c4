import type { Quarantine } from './createQuarantine.js';

/** Baseline: no request is ever suspected. */
export function createNoQuarantine(): Quarantine {
  const nothing = (): void => undefined;
  return {
    check: nothing,
    isSuspect: () => false,
    runsSuspect: () => false,
    start: () => ({ completed: nothing, ended: nothing, broken: () => Promise.resolve() }),
    receive: (report) => report,
  };
}
