import { z } from 'zod';
import { fleetDefaultsSchema } from './fleetDefaultsSchema.js';
import { partialWithoutDefaults } from './partialWithoutDefaults.js';

const { shape } = fleetDefaultsSchema;

/** Schema of one exception as written by an operator. */
export const exceptionInputSchema = z.strictObject({
  /** Name of the exception, unique in the document. */
  id: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be a short lower-case name'),
  /** Reason for the exception. */
  reason: z.string().trim().min(3).max(500),
  /**
   * Operator who added or last changed the exception; derived from the operator's key, not read
   * from the file.
   */
  author: z.string().optional(),
  /** Requests and entry hosts that the exception applies to; every field that is set must match. */
  scope: z.strictObject({
    /** Customer that sent the request. */
    customer: z.string().optional(),
    /** Region of the entry host that serves the request. */
    region: z.string().optional(),
    /** Rank of the request. */
    rank: z.enum(['urgent', 'patient']).optional(),
  }),
  /** Values that override the fleet defaults. */
  set: z.strictObject({
    admission: partialWithoutDefaults(shape.admission),
    routing: partialWithoutDefaults(shape.routing),
    retry: partialWithoutDefaults(shape.retry),
    timeouts: partialWithoutDefaults(shape.timeouts),
    quarantine: partialWithoutDefaults(shape.quarantine),
  }),
  /** Time at which the exception expires, ISO 8601 in UTC; absent for no expiry. */
  expiresAt: z.iso.datetime().optional(),
});
