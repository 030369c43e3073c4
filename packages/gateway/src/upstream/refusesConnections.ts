import { connect } from 'node:net';
import type { Endpoint } from '../model/Endpoint.js';

/** Servers are in the same region and refuse or accept at once. */
const TIMEOUT_MS = 300;

/** Whether no process listens at the endpoint. False if a connection opens or nothing responds. */
export function refusesConnections({ host, port }: Endpoint): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host, port, timeout: TIMEOUT_MS });
    const settle = (isRefused: boolean): void => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.on('connect', () => settle(false));
    socket.on('timeout', () => settle(false));
    socket.on('error', (error: NodeJS.ErrnoException) => settle(error.code === 'ECONNREFUSED'));
  });
}
