import { connect } from 'node:net';
import { startInputTimeout } from '@camphorbarrow/core';
import type { Endpoint } from '../model/Endpoint.js';

/** Servers are in the same region and refuse or accept at once. */
const TIMEOUT_MS = 300;

/** Whether no process listens at the endpoint. False if a connection opens or nothing responds. */
export function refusesConnections({ host, port }: Endpoint): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const settle = (isRefused: boolean): void => {
      socket.destroy();
      resolve(isRefused);
    };
    const timeout = startInputTimeout(TIMEOUT_MS, () => settle(false));
    socket.on('close', () => timeout.close());
    socket.on('connect', () => settle(false));
    socket.on('error', (error: NodeJS.ErrnoException) => settle(error.code === 'ECONNREFUSED'));
  });
}
