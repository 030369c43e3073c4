import type { Socket } from 'node:dgram';
import { once } from 'node:events';
import { openEndpoint } from '../lifecycle/openEndpoint.js';
import type { OpenEndpointOptions } from '../lifecycle/openEndpoint.js';

/**
 * Binds the datagram socket, with further attempts while its endpoint is not available. Resolves
 * after the first attempt. Aborting the signal ends the attempts; the caller then closes the socket.
 */
export function bindWithRetry(socket: Socket, options: OpenEndpointOptions): Promise<void> {
  const { port, host } = options.endpoint;
  const bind = async (): Promise<void> => {
    socket.bind(port, host);
  };
  return openEndpoint(async () => {
    // The result may be known before `bind` returns.
    await Promise.all([once(socket, 'listening'), bind()]);
  }, options);
}
