import { RequestError } from '@camphorbarrow/core';

/** JSON body of an error response (docs/api.md). */
export interface ErrorBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: string;
    readonly param: null;
    readonly outcome: string;
    readonly retryAfterMs?: number;
    readonly details?: Readonly<Record<string, unknown>>;
  };
}

/** Maps any failure to the public error form; the message of an unknown error is not exposed. */
export function toErrorBody(error: unknown): { statusCode: number; body: ErrorBody } {
  const known =
    error instanceof RequestError ? error : new RequestError('Internal error in the gateway.');
  const { message, code, outcome, statusCode, retryAfterMs, details } = known;
  return {
    statusCode,
    body: {
      error: {
        message,
        type: statusCode < 500 ? 'invalid_request_error' : 'server_error',
        code,
        param: null,
        outcome,
        ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
        ...(Object.keys(details).length === 0 ? {} : { details }),
      },
    },
  };
}
