import type { Brand } from './Brand.js';

/** Name of a region, as in the settings and the host list. */
export type RegionId = Brand<string, 'RegionId'>;
