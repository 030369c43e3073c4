import { Agent, get } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { discardBody } from '../../src/index.js';

const MAX_DISCARD_MS = 1_000;

/** Receives the head of a response whose body has not been sent. */
async function receiveHead(
  t: ExecutionContext,
  bodyBytes: number,
): Promise<{ readonly serverSocket: Socket; readonly response: IncomingMessage }> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const agent = new Agent({ keepAlive: true });
  const connected = once(server, 'connection');
  const request = get({ host: '127.0.0.1', port: (server.address() as AddressInfo).port, agent });
  request.on('error', () => undefined);
  const [serverSocket] = (await connected) as [Socket];
  serverSocket.on('error', () => undefined);
  t.teardown(() => {
    agent.destroy();
    serverSocket.destroy();
    server.close();
  });
  serverSocket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${bodyBytes}\r\n\r\n`);
  const [response] = (await once(request, 'response')) as [IncomingMessage];
  return { serverSocket, response };
}

test('the connection of a response that takes too long is closed', async (t) => {
  const { response } = await receiveHead(t, 1_000);
  discardBody(response);
  await sleep(1.2 * MAX_DISCARD_MS);
  t.true(response.destroyed);
  t.false(response.complete);
});

// After a pause of the process its timers run before its sockets are read.
test.serial(
  'a response that arrived while the process was blocked leaves its connection open',
  async (t) => {
    const { serverSocket, response } = await receiveHead(t, 1_000);
    const { socket } = response;
    discardBody(response);
    serverSocket.write(Buffer.alloc(1_000));
    const endMs = performance.now() + 1.2 * MAX_DISCARD_MS;
    while (performance.now() < endMs) {
      // The process does nothing else meanwhile.
    }
    await once(response, 'close');
    t.true(response.complete);
    t.false(socket.destroyed);
  },
);
