import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { tryConnect } from '../../src/index.js';
import { blockEventLoop } from '../support/blockEventLoop.js';

// The request that crashed the server was sent to the next one.
test('a refusal that arrives while the process stands still is noticed', async (t) => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  const pending = tryConnect({ host: '127.0.0.1', port });
  setImmediate(() => blockEventLoop(600));
  t.is(await pending, 'refused');
});

test('a connection that a server accepts is open', async (t) => {
  const server = createServer().listen(0, '127.0.0.1');
  t.teardown(() => server.close());
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  t.is(await tryConnect({ host: '127.0.0.1', port }), 'open');
});

test('a connection that is reset as soon as it is established is not open', async (t) => {
  const server = createServer((socket) => socket.resetAndDestroy()).listen(0, '127.0.0.1');
  t.teardown(() => server.close());
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  t.is(await tryConnect({ host: '127.0.0.1', port }), 'closed');
});
