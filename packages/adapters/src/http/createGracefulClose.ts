import type { FastifyInstance } from 'fastify';
import { trackInFlight } from './trackInFlight.js';

/**
 * Creates the close function of a listener, which waits for the requests in flight and then closes
 * all connections, including those on which no request was ever sent. Has to be called before the
 * routes are added.
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
