import type { FastifyInstance } from 'fastify';
import { trackInFlight } from './trackInFlight.js';

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
  const requests = trackInFlight(app);
  return async () => {
    onClosing();
    await requests.idle();
    await app.close();
  };
}
