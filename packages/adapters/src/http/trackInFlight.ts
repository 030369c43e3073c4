import type { FastifyInstance } from 'fastify';

export interface InFlightRequests {
  inFlight(): number;
  /** Resolves when no request is in flight. */
  idle(): Promise<void>;
}

/** Counts a listener's requests from their headers to the end of their responses. */
export function trackInFlight(app: FastifyInstance): InFlightRequests {
  let count = 0;
  let waiters: (() => void)[] = [];

  function onRequestEnd(): void {
    count -= 1;
    if (count === 0) {
      waiters.forEach((resolve) => resolve());
      waiters = [];
    }
  }

  app.addHook('onRequest', async (_request, reply) => {
    count += 1;
    // Also emitted after a broken connection, and for streams that bypass the framework.
    reply.raw.once('close', onRequestEnd);
  });
  return {
    inFlight: () => count,
    idle: () =>
      count === 0
        ? Promise.resolve()
        : new Promise((resolve) => {
            waiters.push(resolve);
          }),
  };
}
