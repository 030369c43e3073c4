import { z } from 'zod';

/** Name of a process, region, model or call. */
export const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be a lower-case name with digits and hyphens');
