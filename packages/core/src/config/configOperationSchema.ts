import { z } from 'zod';
import { exceptionInputSchema } from './exceptionInputSchema.js';
import { exceptionsFileSchema } from './exceptionsFileSchema.js';
import { fleetDefaultsSchema } from './fleetDefaultsSchema.js';

/** Schema of the operation that one change performs on the configuration document. */
export const configOperationSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('set-defaults'), defaults: fleetDefaultsSchema }),
  z.strictObject({ kind: z.literal('set-exceptions'), exceptions: exceptionsFileSchema }),
  z.strictObject({ kind: z.literal('add-exception'), exception: exceptionInputSchema }),
  z.strictObject({ kind: z.literal('remove-exception'), exceptionId: z.string().min(1) }),
]);
