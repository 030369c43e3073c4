import { z } from 'zod';
import type { ClaimStatus } from '@camphorbarrow/core';
import { serviceAnswerSchema } from './serviceAnswerSchema.js';

/** Wire form of the status of a claim. */
export const claimStatusSchema = z.discriminatedUnion('state', [
  z.object({ state: z.literal('pending') }),
  z.object({ state: z.literal('not-run') }),
  z.object({ state: z.literal('unknown') }),
  z.object({ state: z.literal('key-reused') }),
  z.object({ state: z.literal('run'), answer: serviceAnswerSchema.optional() }),
]) satisfies z.ZodType<ClaimStatus>;
