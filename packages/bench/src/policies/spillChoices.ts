import type { PolicyContext } from './PolicyContext.js';
import type { SpillChooser } from './SpillChooser.js';
import { spillNever } from './spillNever.js';
import { spillWhenFull } from './spillWhenFull.js';

/** Spill choosers by name; a factory is called once per entry host. */
export const spillChoices: Readonly<Record<string, (context: PolicyContext) => SpillChooser>> = {
  never: () => spillNever,
  'when-full': () => spillWhenFull,
};
