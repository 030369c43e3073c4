import type { z } from 'zod';
import type { changeRequestSchema } from './changeRequestSchema.js';

/** An operator's change, as sent to an entry host. */
export type ChangeRequest = z.infer<typeof changeRequestSchema>;
