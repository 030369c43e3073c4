import { z } from 'zod';
import { nameSchema } from './nameSchema.js';

/** A process by name, or one of several, chosen by the seed. */
export const targetSchema = z.union(
  [nameSchema, z.strictObject({ oneOf: z.array(nameSchema).min(1) })],
  { error: 'must be the name of a process or { "oneOf": [names] }' },
);
