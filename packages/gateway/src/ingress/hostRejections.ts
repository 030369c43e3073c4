import { OverloadedError, createRejections } from '@camphorbarrow/core';

/** Retry delay sent to callers on a connection over the limit. */
const CONNECTION_LIMIT_RETRY_MS = 500;
/** Retry delay sent to callers while other requests or their bodies fill the memory. */
const NO_MEMORY_RETRY_MS = 500;

const createHostRejections = (
  code: string,
  message: string,
  retryAfterMs?: number,
): ReturnType<typeof createRejections> =>
  createRejections(
    () => new OverloadedError(message, { props: { code, statusCode: 503, retryAfterMs } }),
  );

export const createConnectionLimitError = createHostRejections(
  'connection-limit',
  'This entry host has too many connections.',
  CONNECTION_LIMIT_RETRY_MS,
);

export const createRequestMemoryError = createHostRejections(
  'request-memory',
  'This entry host has too many requests in progress.',
  NO_MEMORY_RETRY_MS,
);

export const createBodyMemoryError = createHostRejections(
  'body-memory',
  'This entry host holds too many request bodies.',
  NO_MEMORY_RETRY_MS,
);

/** The retry delay is given for each rejection. */
export const createHostOverloadedError = createHostRejections(
  'host-overloaded',
  'This entry host is short of processor time.',
);
