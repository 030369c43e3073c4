import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import test from 'ava';
import {
  AttemptAbandonedError,
  ConnectFailedError,
  asId,
  createSendGate,
} from '@camphorbarrow/core';
import type { RequestId, ServiceCall } from '@camphorbarrow/core';
import { createHttpServiceClient } from '../../src/backends/createHttpServiceClient.js';

const client = createHttpServiceClient({ connectTimeoutMs: 1_000 });
const neverAborted = new AbortController().signal;

test.after.always(() => client.close());

/** Server that records the bytes of every connection and responds to the first data on each. */
async function startRecorder(): Promise<{ url: string; received: string[]; close: () => void }> {
  const received: string[] = [];
  const server = createServer((socket) => {
    const index = received.push('') - 1;
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      if (received[index] === '') {
        socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
      }
      received[index] += data.toString();
    });
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${port}`, received, close: () => server.close() };
}

function createCall(baseUrl: string, onBeforeSend: () => void): ServiceCall {
  return {
    baseUrl,
    method: 'POST',
    path: '/orders',
    contentType: 'application/json',
    body: '{}',
    requestId: asId<RequestId>('r1'),
    connectTimeoutMs: 1_000,
    answerTimeoutMs: 1_000,
    freshConnection: true,
    onBeforeSend,
  };
}

// Guards against a late start: the connection is established after "not run" was already reported.
test('no byte is written for an order that was abandoned before it was sent', async (t) => {
  const recorder = await startRecorder();
  const gate = createSendGate();
  const onBeforeSend = gate.startAttempt();
  const call = createCall(recorder.url, () => {
    gate.abandon();
    onBeforeSend();
  });
  await t.throwsAsync(client.call(call, neverAborted), { instanceOf: AttemptAbandonedError });
  await delay(50);
  t.deepEqual(recorder.received.join(''), '');
  await t.throwsAsync(client.call({ ...call, freshConnection: false }, neverAborted), {
    instanceOf: AttemptAbandonedError,
  });
  await delay(50);
  t.deepEqual(recorder.received.join(''), '');
  recorder.close();
});

test('every order is written to a new connection', async (t) => {
  const recorder = await startRecorder();
  let sends = 0;
  const call = createCall(recorder.url, () => {
    sends += 1;
  });
  t.like(await client.call(call, neverAborted), { statusCode: 200, body: 'ok' });
  t.like(await client.call(call, neverAborted), { statusCode: 200, body: 'ok' });
  t.is(sends, 2);
  t.is(recorder.received.length, 2);
  t.true(recorder.received.every((text) => text.startsWith('POST /orders HTTP/1.1')));
  recorder.close();
});

test('a connection that breaks after the request was sent fails the call without a retry', async (t) => {
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    socket.once('data', () => socket.destroy());
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const gate = createSendGate();
  const call = createCall(`http://127.0.0.1:${port}`, gate.startAttempt());
  await t.throwsAsync(client.call(call, neverAborted), { name: 'AttemptBrokenError' });
  await delay(50);
  t.is(connections, 1);
  t.is(gate.state(), 'possibly-sent');
  server.close();
});

test('a refused connection leaves the order in the state not-sent', async (t) => {
  const recorder = await startRecorder();
  recorder.close();
  const gate = createSendGate();
  const call = createCall(recorder.url, gate.startAttempt());
  await t.throwsAsync(client.call(call, neverAborted), { instanceOf: ConnectFailedError });
  t.is(gate.state(), 'not-sent');
});

// Guards against an order that never ends, which would hold its key and block a graceful shutdown.
test('an endless slow response is aborted at the time limit', async (t) => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n');
    const timer = setInterval(() => socket.write('x'), 20);
    socket.on('close', () => clearInterval(timer));
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const gate = createSendGate();
  const call = createCall(`http://127.0.0.1:${port}`, gate.startAttempt());
  const limited = { ...call, connectTimeoutMs: 100, answerTimeoutMs: 200 };
  await t.throwsAsync(client.call(limited, neverAborted), { name: 'ProgressTimeoutError' });
  t.is(gate.state(), 'possibly-sent');
  server.close();
});
