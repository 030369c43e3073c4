import { once } from 'node:events';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import fastify from 'fastify';
import { createSystemClock } from '@camphorbarrow/core';
import { replaceConnectionErrorHandling } from '../../src/http/replaceConnectionErrorHandling.js';
import { blockFor } from '../support/blockFor.js';

const TIMEOUT_MS = 200;
/** Time after which the server has read the start of a request. */
const READ_MS = 20;
const CHECK_INTERVAL_MS = 20;
/** Longer than the time by which Node.js exceeds the timeout of an idle connection. */
const BLOCK_MS = 1_500;
const REQUEST = 'GET / HTTP/1.1\r\nhost: x\r\n\r\n';

interface Caller {
  readonly socket: Socket;
  /** Received text. */
  text(): string;
}

async function openConnection(t: ExecutionContext): Promise<Caller> {
  const app = fastify({
    keepAliveTimeout: TIMEOUT_MS,
    requestTimeout: 2 * TIMEOUT_MS,
    forceCloseConnections: true,
    http: { headersTimeout: TIMEOUT_MS, connectionsCheckingInterval: CHECK_INTERVAL_MS },
  });
  replaceConnectionErrorHandling(app, createSystemClock());
  app.get('/', async () => 'ok');
  app.post('/', async () => 'ok');
  app.get('/slow', async () => {
    await sleep(4 * TIMEOUT_MS);
    return 'slow';
  });
  await app.listen({ host: '127.0.0.1', port: 0 });
  const socket = connect((app.server.address() as AddressInfo).port, '127.0.0.1');
  let text = '';
  socket.setEncoding('utf8').on('data', (data: string) => {
    text += data;
  });
  socket.on('error', () => undefined);
  t.teardown(() => {
    socket.destroy();
    return app.close();
  });
  await once(socket, 'connect');
  return { socket, text: () => text };
}

/** Sends input that the server cannot read before its timers run. */
async function sendBeforePause(socket: Socket, input: string): Promise<void> {
  await nextTurn();
  socket.write(input);
  blockFor(BLOCK_MS);
}

const responseCount = (text: string): number => text.split('200 OK').length - 1;

test.serial('a request that arrived in time on an idle connection is answered', async (t) => {
  const { socket, text } = await openConnection(t);
  socket.write(REQUEST);
  await once(socket, 'data');
  await sendBeforePause(socket, REQUEST);
  await Promise.race([once(socket, 'data'), once(socket, 'close')]);
  t.is(responseCount(text()), 2);
});

test.serial('a request whose head arrived in time in two parts is answered', async (t) => {
  const { socket, text } = await openConnection(t);
  socket.write('GET / HTTP/1.1\r\n');
  await sleep(READ_MS);
  await sendBeforePause(socket, 'host: x\r\n\r\n');
  await Promise.race([once(socket, 'data'), once(socket, 'close')]);
  t.regex(text(), /^HTTP\/1.1 200 OK/);
});

test.serial('an idle connection is closed', async (t) => {
  const { socket, text } = await openConnection(t);
  socket.write(REQUEST);
  await once(socket, 'close');
  t.is(responseCount(text()), 1);
});

test.serial('the start of a head does not keep an idle connection open', async (t) => {
  const { socket } = await openConnection(t);
  socket.write(REQUEST);
  await once(socket, 'data');
  socket.write('GET / HTTP/1.1\r\n');
  await once(socket, 'close');
  t.pass();
});

test.serial('a late head is rejected', async (t) => {
  const { socket, text } = await openConnection(t);
  socket.write('GET / HTTP/1.1\r\n');
  await once(socket, 'close');
  t.regex(text(), /^HTTP\/1.1 408 Request Timeout/);
});

test.serial('a late head does not spoil the response to the request before it', async (t) => {
  const { socket, text } = await openConnection(t);
  socket.write('GET /slow HTTP/1.1\r\nhost: x\r\n\r\nGET / HTTP/1.1\r\n');
  await once(socket, 'close');
  t.regex(text(), /^HTTP\/1.1 200 OK[^]*slowHTTP\/1.1 408 /);
});

test.serial('a late body is rejected', async (t) => {
  const { socket, text } = await openConnection(t);
  socket.write('POST / HTTP/1.1\r\nhost: x\r\ncontent-type: text/plain\r\n');
  socket.write('content-length: 2\r\n\r\no');
  await once(socket, 'close');
  t.regex(text(), /^HTTP\/1.1 408 Request Timeout/);
});

test.serial('a body that arrived in time in two parts is answered', async (t) => {
  const { socket, text } = await openConnection(t);
  socket.write('POST / HTTP/1.1\r\nhost: x\r\ncontent-type: text/plain\r\n');
  socket.write('content-length: 2\r\n\r\no');
  await sleep(READ_MS);
  await sendBeforePause(socket, 'k');
  await Promise.race([once(socket, 'data'), once(socket, 'close')]);
  t.regex(text(), /^HTTP\/1.1 200 OK/);
});
