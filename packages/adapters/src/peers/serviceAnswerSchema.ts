import { z } from 'zod';
import type { ServiceAnswer } from '@camphorbarrow/core';

/** Wire form of a service's response; JSON omits a content type that is undefined. */
export const serviceAnswerSchema = z
  .object({
    statusCode: z.int(),
    contentType: z.string().optional(),
    body: z.string(),
  })
  .transform(({ statusCode, contentType, body }): ServiceAnswer => ({
    statusCode,
    contentType,
    body,
  }));
