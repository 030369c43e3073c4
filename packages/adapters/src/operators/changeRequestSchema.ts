import { z } from 'zod';
import { configOperationSchema } from '@camphorbarrow/core';

/** Wire form of an operator's change; the author comes from the key. */
export const changeRequestSchema = z.strictObject({
  changeId: z.string().regex(/^[A-Za-z0-9-]{8,64}$/, 'must be 8 to 64 letters, digits or dashes'),
  reason: z.string().trim().min(3).max(500),
  basedOnVersion: z.int().min(0).optional(),
  operation: configOperationSchema,
});
