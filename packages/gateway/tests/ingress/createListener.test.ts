import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { createSystemClock } from '@camphorbarrow/core';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createListener } from '../../src/index.js';
import { silentLog, discardingMetrics } from '../support/silentSinks.js';

const ORDER = 'POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}';

interface Probe {
  readonly caller: Socket;
  /** Requests that were passed to the handler. */
  readonly requests: IncomingMessage[];
  received(): string;
}

/** Starts a listener whose handler responds to complete requests, and a caller of it. */
async function startListener(t: ExecutionContext, headerTimeoutMs: number): Promise<Probe> {
  const requests: IncomingMessage[] = [];
  const listener = await createListener({
    name: 'callers',
    endpoint: { host: '127.0.0.1', port: 0 },
    clock: createSystemClock(),
    log: silentLog,
    metrics: discardingMetrics,
    maxConnections: 100,
    handle: async (request, response) => {
      requests.push(request);
      request.on('error', () => undefined).resume();
      await once(request, 'close').catch(() => undefined);
      if (request.complete) {
        response.writeHead(200, { 'Content-Length': 2 }).end('ok');
      }
    },
  });
  listener.applyLimits({
    headerTimeoutMs,
    idleTimeoutMs: 4_000,
    maxHeaderBytes: 10_000,
    maxBodyBytes: 10_000,
  });
  const { port } = listener.server.address() as AddressInfo;
  const caller = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  let text = '';
  caller.on('data', (data) => {
    text += data.toString();
  });
  caller.on('error', () => undefined);
  t.teardown(() => {
    caller.destroy();
    listener.close();
  });
  return { caller, requests, received: () => text };
}

/** Waits for the condition for a limited time. Returns how long that took. */
async function until(condition: () => boolean, limitMs: number): Promise<number> {
  const startMs = performance.now();
  while (!condition() && performance.now() - startMs < limitMs) {
    await sleep(10);
  }
  return Math.round(performance.now() - startMs);
}

test('a head completed after its 408 is not run', async (t) => {
  const { caller, requests, received } = await startListener(t, 400);
  caller.write(ORDER.slice(0, 30));
  await until(() => received().includes('408'), 3_000);
  t.regex(received(), /^HTTP\/1.1 408/);
  caller.write(ORDER.slice(30));
  await sleep(400);
  t.is(requests.length, 0, received());
});

test('a request that crosses the 408 of a silent connection is not run', async (t) => {
  const { caller, requests, received } = await startListener(t, 400);
  await until(() => received().includes('408'), 3_000);
  t.regex(received(), /^HTTP\/1.1 408/);
  caller.write(ORDER);
  await sleep(400);
  t.is(requests.length, 0, received());
});

test('a request behind a 400 for a missing Host is not run', async (t) => {
  const { caller, requests, received } = await startListener(t, 4_000);
  caller.write('GET / HTTP/1.1\r\n\r\n');
  await until(() => received().includes('400'), 3_000);
  t.regex(received(), /^HTTP\/1.1 400/);
  caller.write(ORDER);
  await sleep(400);
  t.is(requests.length, 0, received());
});

test('a caller that closes within a body is noticed at once', async (t) => {
  const { caller, requests } = await startListener(t, 4_000);
  caller.write('POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n{}');
  await until(() => requests.length === 1, 1_000);
  caller.destroy();
  const elapsedMs = await until(() => requests[0]?.destroyed === true, 2_000);
  t.true(requests[0]?.destroyed, `${elapsedMs} ms`);
});

test('a malformed chunk in a body gets its 400 at once', async (t) => {
  const { caller, received } = await startListener(t, 4_000);
  caller.write('POST /order HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n');
  await sleep(50);
  caller.write('zz\r\n{}\r\n');
  await until(() => received() !== '', 2_000);
  t.regex(received(), /^HTTP\/1.1 400/);
});

test('a caller that closes while its response is due and a head has begun is noticed at once', async (t) => {
  const { caller, requests } = await startListener(t, 4_000);
  caller.write('POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n{}');
  await until(() => requests.length === 1, 1_000);
  caller.write('x'.repeat(17));
  await sleep(50);
  caller.destroy();
  const elapsedMs = await until(() => requests[0]?.socket.destroyed === true, 2_000);
  t.true(requests[0]?.socket.destroyed, `${elapsedMs} ms`);
});
