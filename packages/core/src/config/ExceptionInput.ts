import type { z } from 'zod';
import type { exceptionInputSchema } from './exceptionInputSchema.js';

/** An exception to the fleet defaults as written by an operator. */
export type ExceptionInput = z.infer<typeof exceptionInputSchema>;
