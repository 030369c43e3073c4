import type { SpillPolicy } from './SpillPolicy.js';

/** Baseline: every request stays in its region. */
export const neverSpill: SpillPolicy = () => undefined;
