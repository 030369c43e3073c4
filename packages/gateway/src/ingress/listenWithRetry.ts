import { once } from 'node:events';
import type { Server } from 'node:net';
import { openEndpoint } from '../lifecycle/openEndpoint.js';
import type { OpenEndpointOptions } from '../lifecycle/openEndpoint.js';

/**
 * Makes the server listen, with further attempts while its endpoint is not available. Resolves after
 * the first attempt; `server.listening` tells whether it succeeded.
 */
export function listenWithRetry(server: Server, options: OpenEndpointOptions): Promise<void> {
  const { endpoint, signal } = options;
  return openEndpoint(async () => {
    server.listen(endpoint.port, endpoint.host);
    await once(server, 'listening');
    // An attempt that is under way is not cancelled by closing the server.
    if (signal.aborted) {
      server.close();
    }
  }, options);
}
