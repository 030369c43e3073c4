import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';
import type { ExecutionContext } from 'ava';
import { blockFor } from './blockFor.js';

export interface PausingServerOptions {
  /** Sent when a request arrives. */
  readonly start?: string;
  /** Sent after `delayMs`, just before the process is blocked. */
  readonly rest: string;
  readonly delayMs: number;
  readonly pauseMs: number;
}

/**
 * Starts a server that blocks the process after a response, so that the timers of the client run
 * before it can read the response.
 *
 * @returns the base URL of the server
 */
export async function startPausingServer(
  t: ExecutionContext,
  options: PausingServerOptions,
): Promise<string> {
  const { start = '', rest, delayMs, pauseMs } = options;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', async () => {
      socket.write(start);
      await sleep(delayMs);
      await nextTurn();
      socket.write(rest);
      blockFor(pauseMs);
    });
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}
