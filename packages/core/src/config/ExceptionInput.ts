import type { z } from 'zod';
import type { exceptionInputSchema } from './exceptionInputSchema.js';

/** An exception to the fleet defaults as an operator writes it. */
export type ExceptionInput = z.infer<typeof exceptionInputSchema>;
