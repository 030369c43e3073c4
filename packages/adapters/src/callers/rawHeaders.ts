import type { FastifyRequest } from 'fastify';
import type { Headers } from '@camphorbarrow/core';

/** Headers of a request with repeated ones kept apart. */
export function rawHeaders(request: FastifyRequest): Headers {
  return Object.fromEntries(
    Object.entries(request.raw.headersDistinct).map(([name, values]) => [
      name,
      values?.length === 1 ? values[0] : values,
    ]),
  );
}
