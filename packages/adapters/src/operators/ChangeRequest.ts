import type { z } from 'zod';
import type { changeRequestSchema } from './changeRequestSchema.js';

/** An operator's change as it is sent. */
export type ChangeRequest = z.infer<typeof changeRequestSchema>;
