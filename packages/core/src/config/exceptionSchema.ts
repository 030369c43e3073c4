import { z } from 'zod';
import { fleetDefaultsSchema } from './fleetDefaultsSchema.js';

const { shape } = fleetDefaultsSchema;

function partialOf<Shape extends z.core.$ZodLooseShape>(schema: z.ZodPrefault<z.ZodObject<Shape>>) {
  return schema.unwrap().partial().optional();
}

/** Schema of one exception to the fleet defaults. */
export const exceptionSchema = z.strictObject({
  id: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be a short lower-case name'),
  /** Why the exception exists. */
  reason: z.string().trim().min(3).max(500),
  /** Requests and hosts the exception applies to; every named field has to match. */
  scope: z.strictObject({
    customer: z.string().optional(),
    region: z.string().optional(),
    rank: z.enum(['urgent', 'patient']).optional(),
  }),
  /** Fields that replace the defaults. */
  set: z.strictObject({
    admission: partialOf(shape.admission),
    routing: partialOf(shape.routing),
    retry: partialOf(shape.retry),
    timeouts: partialOf(shape.timeouts),
    quarantine: partialOf(shape.quarantine),
  }),
  /** Time after which the exception no longer applies, ISO 8601. */
  expiresAt: z.iso.datetime().optional(),
});
