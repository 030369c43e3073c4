import type { SpillPolicy } from './SpillPolicy.js';

/** Baseline: serves every request in its own region. */
export const neverSpill: SpillPolicy = () => undefined;
