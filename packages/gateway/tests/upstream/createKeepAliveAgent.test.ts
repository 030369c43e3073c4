import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import test from 'ava';
import { createConnectionPools, sendUpstream } from '../../src/index.js';

// Between two requests the socket had no listener for its errors, and the process ended.
test('an error while a connection goes back to its pool costs only the connection', async (t) => {
  const server = createServer((_request, response) => response.end('ok')).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const pools = createConnectionPools(5_000);
  t.teardown(() => {
    pools.close();
    server.close();
  });
  const send = () =>
    sendUpstream({
      agent: pools.agentFor('server'),
      endpoint: { host: '127.0.0.1', port: (server.address() as AddressInfo).port },
      method: 'GET',
      path: '/',
      headers: ['Host', 'a.example'],
      body: Buffer.alloc(0),
      connectTimeoutMs: 2_000,
      responseTimeoutMs: undefined,
      signal: new AbortController().signal,
    });
  const sent = await send();
  if (sent.kind !== 'response') {
    t.fail();
    return;
  }
  const { response } = sent;
  const socket = response.socket as Socket;
  response.on('end', () => socket.destroy(new Error('read ENOBUFS'))).resume();
  await once(response, 'close');
  await nextTurn();
  const again = await send();
  t.is(again.kind, 'response');
});
