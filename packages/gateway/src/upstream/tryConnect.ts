import { connect } from 'node:net';
import { startInputTimeout } from '@camphorbarrow/core';
import type { Endpoint } from '../model/Endpoint.js';

/** Servers are in the same region and refuse or accept at once. */
const TIMEOUT_MS = 300;
/** Time for which a new connection has to stay open; one that is not wanted is reset at once. */
const SETTLE_MS = 20;

/**
 * What became of a new connection. `refused`: no process listens at the endpoint; `closed`: it was
 * closed at once; `timeout`: nothing responded.
 */
export type ConnectOutcome = 'open' | 'refused' | 'closed' | 'timeout';

/** Opens a connection, closes it again without sending anything, and tells how far it came. */
export function tryConnect({ host, port }: Endpoint): Promise<ConnectOutcome> {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    let isConnected = false;
    const settle = (outcome: ConnectOutcome): void => {
      socket.destroy();
      resolve(outcome);
    };
    let timeout = startInputTimeout(TIMEOUT_MS, () => settle('timeout'));
    socket.on('connect', () => {
      isConnected = true;
      timeout.close();
      timeout = startInputTimeout(SETTLE_MS, () => settle('open'));
    });
    socket.on('error', (error: NodeJS.ErrnoException) =>
      settle(!isConnected && error.code === 'ECONNREFUSED' ? 'refused' : 'closed'),
    );
    socket.on('end', () => settle('closed'));
    socket.on('close', () => {
      timeout.close();
      settle('closed');
    });
    socket.resume();
  });
}
