import type { z } from 'zod';
import type { configOperationSchema } from './configOperationSchema.js';

/** Operation that one change performs on the configuration document. */
export type ConfigOperation = z.infer<typeof configOperationSchema>;
