import { z } from 'zod';
import type { JsonSchema } from './JsonSchema.js';

/** JSON schema of what a file may contain, before defaults are filled in. */
export function toJsonSchema(schema: z.ZodType): JsonSchema {
  return z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' });
}
