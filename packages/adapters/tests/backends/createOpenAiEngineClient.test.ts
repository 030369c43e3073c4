import { once } from 'node:events';
import { createServer } from 'node:net';
import type { Socket } from 'node:net';
import test from 'ava';
import { createOpenAiEngineClient } from '../../src/backends/createOpenAiEngineClient.js';

const LOAD = JSON.stringify({
  incarnation: 'i1',
  state: 'live',
  runningRequests: 0,
  waitingRequests: 0,
});
const RESPONSE = `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${LOAD.length}\r\n\r\n${LOAD}`;

test('when all open connections are unresponsive, a load poll succeeds on a new one', async (t) => {
  const sockets: Socket[] = [];
  const unresponsive = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.push(socket);
    socket
      .on('error', () => undefined)
      .on('data', () => {
        if (!unresponsive.has(socket)) {
          socket.write(RESPONSE);
        }
      });
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as { port: number };
  const client = createOpenAiEngineClient({ connectTimeoutMs: 500 });
  t.teardown(async () => {
    await client.close();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const poll = (): Promise<unknown> => client.readLoad(`http://127.0.0.1:${port}`, 1_000);
  await Promise.all([poll(), poll(), poll()]);
  t.is(sockets.length, 3);
  sockets.forEach((socket) => unresponsive.add(socket));
  t.like(await poll(), { incarnation: 'i1' });
  t.true(sockets.length > 3);
});
