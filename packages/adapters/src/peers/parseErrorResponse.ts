import { z } from 'zod';
import type { ForwardRefusal } from '@camphorbarrow/core';

const errorBodySchema = z.object({
  error: z.object({
    message: z.string(),
    code: z.string(),
    outcome: z.enum(['not-run', 'unknown', 'run']),
    retryAfterMs: z.number().optional(),
    details: z.record(z.string(), z.unknown()).default({}),
  }),
});

/** Parses the error response of a peer; one that is not valid has an unknown outcome. */
export function parseErrorResponse(statusCode: number, text: string): ForwardRefusal {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    value = undefined;
  }
  const result = errorBodySchema.safeParse(value);
  if (!result.success) {
    return {
      kind: 'refused',
      statusCode: 502,
      code: 'backend-failed',
      message: 'The other region sent an invalid error response.',
      outcome: 'unknown',
      retryAfterMs: undefined,
      details: {},
    };
  }
  const { message, code, outcome, retryAfterMs, details } = result.data.error;
  return { kind: 'refused', statusCode, code, message, outcome, retryAfterMs, details };
}
