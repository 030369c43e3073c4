import type { z } from 'zod';
import type { fleetDefaultsSchema } from './fleetDefaultsSchema.js';

/** Settings that hold for the whole fleet unless an exception says otherwise. */
export type FleetDefaults = z.infer<typeof fleetDefaultsSchema>;
