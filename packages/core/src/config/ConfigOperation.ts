import type { z } from 'zod';
import type { configOperationSchema } from './configOperationSchema.js';

/** What one change does to the configuration document. */
export type ConfigOperation = z.infer<typeof configOperationSchema>;
