import type { FastifyReply } from 'fastify';
import { BodyTooLargeError, InvalidBodyError, RequestError } from '@camphorbarrow/core';
import { toErrorBody } from './toErrorBody.js';

const MS_PER_SECOND = 1000;

function toRequestError(error: unknown): unknown {
  if (error instanceof RequestError || !(error instanceof Error)) {
    return error;
  }
  const code = 'code' in error ? error.code : undefined;
  if (code === 'FST_ERR_CTP_BODY_TOO_LARGE') {
    return new BodyTooLargeError('The request body is larger than this host accepts.');
  }
  const statusCode = 'statusCode' in error ? Number(error.statusCode) : 500;
  if (statusCode >= 400 && statusCode < 500) {
    return new InvalidBodyError('The request is malformed.');
  }
  return error;
}

/** Sends a failure as a typed error response. */
export function sendError(reply: FastifyReply, error: unknown): FastifyReply {
  const { statusCode, body } = toErrorBody(toRequestError(error));
  if (body.error.retryAfterMs !== undefined) {
    void reply.header('retry-after', Math.ceil(body.error.retryAfterMs / MS_PER_SECOND));
  }
  return reply.code(statusCode).send(body);
}
