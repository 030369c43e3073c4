import { z } from 'zod';
import { nameSchema } from './nameSchema.js';

/** Name of a process, or several names from which one is drawn with the run's seed. */
export const targetSchema = z.union(
  [nameSchema, z.strictObject({ oneOf: z.array(nameSchema).min(1) })],
  { error: 'must be the name of a process or { "oneOf": [names] }' },
);
