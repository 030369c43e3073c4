import { z } from 'zod';
import { fleetDefaultsSchema } from './fleetDefaultsSchema.js';
import { partialWithoutDefaults } from './partialWithoutDefaults.js';

const { shape } = fleetDefaultsSchema;

/** Schema of one exception as an operator writes it. */
export const exceptionInputSchema = z.strictObject({
  /** Name of the exception, unique in the document. */
  id: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be a short lower-case name'),
  /** Why the exception exists. */
  reason: z.string().trim().min(3).max(500),
  /** Operator who made or last changed the exception; taken from the operator's key, not from the file. */
  author: z.string().optional(),
  /** Requests and hosts the exception applies to; every named field has to match. */
  scope: z.strictObject({
    /** Customer the request comes from. */
    customer: z.string().optional(),
    /** Region of the entry host that serves the request. */
    region: z.string().optional(),
    /** Rank of the request. */
    rank: z.enum(['urgent', 'patient']).optional(),
  }),
  /** Fields that replace the defaults. */
  set: z.strictObject({
    admission: partialWithoutDefaults(shape.admission),
    routing: partialWithoutDefaults(shape.routing),
    retry: partialWithoutDefaults(shape.retry),
    timeouts: partialWithoutDefaults(shape.timeouts),
    quarantine: partialWithoutDefaults(shape.quarantine),
  }),
  /** Time after which the exception no longer applies, ISO 8601 in UTC. */
  expiresAt: z.iso.datetime().optional(),
});
