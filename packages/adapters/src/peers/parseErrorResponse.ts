import { z } from 'zod';
import type { ForwardRefusal } from '@camphorbarrow/core';

const refusalSchema = z.object({
  error: z.object({
    message: z.string(),
    code: z.string(),
    outcome: z.enum(['not-run', 'unknown', 'run']),
    retryAfterMs: z.number().optional(),
    details: z.record(z.string(), z.unknown()).default({}),
  }),
});

/** The typed refusal in a peer's error body; one that cannot be read has an unknown outcome. */
export function parseErrorResponse(statusCode: number, text: string): ForwardRefusal {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    value = undefined;
  }
  const result = refusalSchema.safeParse(value);
  if (!result.success) {
    return {
      kind: 'refused',
      statusCode: 502,
      code: 'backend-failed',
      message: 'The other region sent an unreadable refusal.',
      outcome: 'unknown',
      retryAfterMs: undefined,
      details: {},
    };
  }
  const { message, code, outcome, retryAfterMs, details } = result.data.error;
  return { kind: 'refused', statusCode, code, message, outcome, retryAfterMs, details };
}
