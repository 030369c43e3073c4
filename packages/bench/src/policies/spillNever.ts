import type { SpillChooser } from './SpillChooser.js';

/** Baseline: every request is served in the region it arrives in. */
export const spillNever: SpillChooser = () => undefined;
