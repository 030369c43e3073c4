import { createServer } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { discardRequestBody } from '../../src/index.js';

const LIMITS = { maxBodyBytes: 1_500_000, idleTimeoutMs: 200 };
/** Bytes that are read of each body, also with a lower limit on its size. */
const MIN_SIZE_LIMIT_BYTES = 1_048_576;

async function openRequest(
  t: ExecutionContext,
  bodyBytes: number,
): Promise<{ readonly caller: Socket; readonly request: IncomingMessage }> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  caller.on('error', () => undefined);
  t.teardown(() => {
    caller.destroy();
    server.closeAllConnections();
    server.close();
  });
  const requested = once(server, 'request');
  caller.write(`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${bodyBytes}\r\n\r\n`);
  const [request] = (await requested) as [IncomingMessage];
  return { caller, request };
}

test('a body whose pieces come within the idle time is read to its end', async (t) => {
  const { caller, request } = await openRequest(t, 4_000);
  const discarded = discardRequestBody(request, LIMITS);
  for (let piece = 0; piece < 4; piece += 1) {
    await sleep(120);
    caller.write(Buffer.alloc(1_000));
  }
  await discarded;
  t.true(request.complete);
  t.false(request.socket.destroyed);
});

test('a connection without input for the idle time is closed', async (t) => {
  const { caller, request } = await openRequest(t, 4_000);
  caller.write(Buffer.alloc(1_000));
  await discardRequestBody(request, LIMITS);
  t.true(request.socket.destroyed);
});

test('a connection whose body exceeds the size limit is closed', async (t) => {
  const { caller, request } = await openRequest(t, 2_000_000);
  caller.write(Buffer.alloc(1_600_000));
  await discardRequestBody(request, LIMITS);
  t.true(request.socket.destroyed);
  t.false(request.complete);
});

// The connection was reset before a caller that sent too much had read its response.
test('more than a low size limit is read', async (t) => {
  const { caller, request } = await openRequest(t, MIN_SIZE_LIMIT_BYTES);
  caller.write(Buffer.alloc(MIN_SIZE_LIMIT_BYTES));
  await discardRequestBody(request, { ...LIMITS, maxBodyBytes: 10_000 });
  t.true(request.complete);
});

test('a connection that its caller closes early is not waited for', async (t) => {
  const { caller, request } = await openRequest(t, 20_000);
  caller.destroy();
  await discardRequestBody(request, LIMITS);
  await discardRequestBody(request, LIMITS);
  t.true(request.socket.destroyed);
});

// After a pause of the process its timers run before its sockets are read.
test.serial('a body that arrived while the process was blocked is read', async (t) => {
  const { caller, request } = await openRequest(t, 4_000);
  const discarded = discardRequestBody(request, LIMITS);
  caller.write(Buffer.alloc(4_000));
  const endMs = performance.now() + 2 * LIMITS.idleTimeoutMs;
  while (performance.now() < endMs) {
    // The process does nothing else meanwhile.
  }
  await discarded;
  t.true(request.complete);
});
