import type { FastifyInstance, FastifyRequest } from 'fastify';
import { z } from 'zod';
import { InvalidBodyError } from '@camphorbarrow/core';
import type { RequestContext } from '@camphorbarrow/core';
import type { CallerApi } from './CallerApi.js';

const MAX_PERMITS = 100;

const permitRequestSchema = z.strictObject({
  /** Number of permits. */
  count: z.int().min(1).max(MAX_PERMITS).default(1),
});

function readCount(body: unknown): number {
  try {
    const text = String(body ?? '');
    return permitRequestSchema.parse(text === '' ? {} : JSON.parse(text)).count;
  } catch {
    // Without a cause: modern-errors would append the message of the cause, which quotes the body.
    throw new InvalidBodyError(`The body must be { "count": n } with n from 1 to ${MAX_PERMITS}.`);
  }
}

/** Adds `POST /v1/order-permits` (docs/orders.md). */
export function addOrderPermitRoute(
  app: FastifyInstance,
  api: CallerApi,
  readContext: (request: FastifyRequest) => RequestContext,
): void {
  app.post('/v1/order-permits', async (request) =>
    api.issueOrderPermits(readContext(request), readCount(request.body)),
  );
}
