import { DrainingError, createRejections } from '@camphorbarrow/core';

/** Creates the rejection of a request by a host that stops; another host takes it immediately. */
export const createDrainingError = createRejections(
  () => new DrainingError('This entry host is shutting down.', { props: { retryAfterMs: 0 } }),
);
