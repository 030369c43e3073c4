import type { z } from 'zod';

/** The parts of a JSON schema that zod's schemas of our files produce. */
export type JsonSchema = z.core.JSONSchema.BaseSchema;
