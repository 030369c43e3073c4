import type { FastifyRequest } from 'fastify';
import type { Headers } from '@camphorbarrow/core';

/** Headers of a request; a repeated header has a list of its values. */
export function rawHeaders(request: FastifyRequest): Headers {
  return Object.fromEntries(
    Object.entries(request.raw.headersDistinct).map(([name, values]) => [
      name,
      values?.length === 1 ? values[0] : values,
    ]),
  );
}
