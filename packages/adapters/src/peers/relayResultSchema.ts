import { z } from 'zod';
import type { RelayResult } from '@camphorbarrow/core';
import { serviceAnswerSchema } from './serviceAnswerSchema.js';

/** Wire form of the result of a relayed order. */
export const relayResultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('answer'), answer: serviceAnswerSchema }),
  z.object({
    kind: z.literal('refusal'),
    error: z.object({
      message: z.string(),
      code: z.string(),
      outcome: z.enum(['not-run', 'unknown', 'run']),
      statusCode: z.int().min(400).max(599),
      retryAfterMs: z.number().optional(),
      details: z.record(z.string(), z.unknown()).default({}),
    }),
  }),
]) satisfies z.ZodType<RelayResult>;
