import type { z } from 'zod';
import type { hostSettingsSchema } from './hostSettingsSchema.js';

/** Settings of one entry host. */
export type HostSettings = z.infer<typeof hostSettingsSchema>;
