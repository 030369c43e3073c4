import { z } from 'zod';
import type { JsonSchema } from './JsonSchema.js';

/** JSON schema of a file's contents before defaults are applied. */
export function toJsonSchema(schema: z.ZodType): JsonSchema {
  return z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' });
}
