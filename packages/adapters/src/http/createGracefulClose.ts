import { EventEmitter, once } from 'node:events';
import type { FastifyInstance } from 'fastify';

/**
 * Close function of a listener: waits for the requests in flight, then closes all connections,
 * also those on which no request was ever sent. Call it before the routes are added.
 *
 * @param onClosing called once when closing begins
 */
export function createGracefulClose(
  app: FastifyInstance,
  onClosing: () => void = () => undefined,
): () => Promise<void> {
  const ends = new EventEmitter();
  let inFlight = 0;
  app.addHook('onRequest', async (_request, reply) => {
    inFlight += 1;
    reply.raw.once('close', () => {
      inFlight -= 1;
      ends.emit('end');
    });
  });
  return async () => {
    onClosing();
    while (inFlight > 0) {
      await once(ends, 'end');
    }
    await app.close();
  };
}
