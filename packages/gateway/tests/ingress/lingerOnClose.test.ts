import { createServer } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { lingerOnClose } from '../../src/index.js';

/** Less than the buffers of both sockets hold. */
const RESPONSE_BYTES = 2_000_000;
const REQUEST = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n';
const LINGER_MS = 1_000;

interface Connection {
  readonly caller: Socket;
  readonly accepted: Socket;
  receivedBytes(): number;
}

/** Sends a request to a server whose response closes the connection. The caller does not read. */
async function openConnection(t: ExecutionContext, requestText: string): Promise<Connection> {
  const server = createServer((_request, response) => {
    response.writeHead(200, { 'Content-Length': RESPONSE_BYTES, Connection: 'close' });
    response.end(Buffer.alloc(RESPONSE_BYTES));
  });
  lingerOnClose(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const caller = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  const [accepted] = (await once(server, 'connection')) as [Socket];
  t.teardown(() => {
    caller.destroy();
    server.closeAllConnections();
    server.close();
  });
  caller.on('error', () => undefined);
  let receivedBytes = 0;
  caller.on('data', (data) => {
    receivedBytes += data.length;
  });
  caller.pause();
  caller.write(requestText);
  return { caller, accepted, receivedBytes: () => receivedBytes };
}

// The operating system reset the connection and dropped what it had not sent.
test('input behind the last request does not cut the response short', async (t) => {
  const { caller, receivedBytes } = await openConnection(t, REQUEST);
  await sleep(300);
  caller.write(REQUEST);
  await sleep(100);
  caller.resume();
  await Promise.race([once(caller, 'end'), once(caller, 'close')]).catch(() => undefined);
  t.true(receivedBytes() > RESPONSE_BYTES, `${receivedBytes()} bytes`);
});

test('a connection is closed as soon as its caller closes it', async (t) => {
  const { caller, accepted } = await openConnection(t, REQUEST);
  caller.resume();
  await once(caller, 'end');
  const closed = once(accepted, 'close').then(() => 'closed');
  caller.end();
  t.is(await Promise.race([closed, sleep(LINGER_MS / 2, 'open')]), 'closed');
});

test('a connection that its caller does not close is closed after a time limit', async (t) => {
  const { caller, accepted } = await openConnection(t, REQUEST);
  caller.resume();
  await once(caller, 'end');
  t.false(accepted.destroyed);
  await sleep(1.5 * LINGER_MS);
  t.true(accepted.destroyed);
});

test('a caller that reads slowly gets its whole response', async (t) => {
  const { caller, receivedBytes } = await openConnection(t, REQUEST);
  await sleep(1.5 * LINGER_MS);
  caller.resume();
  await Promise.race([once(caller, 'end'), once(caller, 'close')]).catch(() => undefined);
  t.true(receivedBytes() > RESPONSE_BYTES, `${receivedBytes()} bytes`);
});
