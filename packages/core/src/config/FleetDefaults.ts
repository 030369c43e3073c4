import type { z } from 'zod';
import type { fleetDefaultsSchema } from './fleetDefaultsSchema.js';

/** Settings that apply to the whole fleet unless an exception overrides them. */
export type FleetDefaults = z.infer<typeof fleetDefaultsSchema>;
