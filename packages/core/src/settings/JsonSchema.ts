import type { z } from 'zod';

/** A JSON schema as zod generates it from the schemas of settings and configuration files. */
export type JsonSchema = z.core.JSONSchema.BaseSchema;
