import { z } from 'zod';
import { exceptionInputSchema } from './exceptionInputSchema.js';

/** Schema of one exception to the fleet defaults, as stored. */
export const exceptionSchema = z.strictObject({
  ...exceptionInputSchema.shape,
  /** Operator who added or last changed the exception. */
  author: z.string().trim().min(1).max(63),
});
