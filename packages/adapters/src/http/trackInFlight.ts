import type { FastifyInstance } from 'fastify';
import { runAfterPoll } from '@camphorbarrow/core';

export interface InFlightRequests {
  inFlight(): number;
  /** Resolves when no request is in flight, after the sockets have been read. */
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

  const waitForEnd = (): Promise<void> =>
    new Promise((resolve) => {
      waiters.push(resolve);
    });

  app.addHook('onRequest', async (_request, reply) => {
    count += 1;
    // Also emitted after a broken connection, and for streams that bypass the framework.
    reply.raw.once('close', onRequestEnd);
  });
  return {
    inFlight: () => count,
    async idle() {
      do {
        if (count > 0) {
          await waitForEnd();
        }
        // A request that has arrived may not have been read yet.
        await new Promise<void>((resolve) => {
          runAfterPoll(resolve);
        });
      } while (count > 0);
    },
  };
}
