import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createSeededRandom } from '@camphorbarrow/core';
import { runIdleCaller } from '../src/index.js';
import type { ConnectionCall } from '../src/index.js';

const CALLS = 12;
const IDLE_TIMEOUT_MS = 500;

/** Calls of one caller to a server, and the number of connections that it opened. */
async function runAgainst(
  t: ExecutionContext,
  respond: (request: IncomingMessage, response: ServerResponse) => void,
) {
  const bodies: string[] = [];
  let connections = 0;
  const server = createServer((request, response) => {
    let body = '';
    request.on('data', (chunk: Buffer) => {
      body += chunk.toString();
    });
    request.on('end', () => {
      bodies.push(body);
      response.setHeader('Camphorbarrow-Attempt-Id', body);
      respond(request, response);
    });
  });
  server.on('connection', () => {
    connections += 1;
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const calls: ConnectionCall[] = [];
  const stop = new AbortController();
  await runIdleCaller({
    name: 'k',
    random: createSeededRandom(1),
    host: 0,
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    idleTimeoutMs: () => IDLE_TIMEOUT_MS,
    headerTimeoutMs: 100,
    onCall(call) {
      calls.push(call);
      if (calls.length === CALLS) {
        stop.abort();
      }
    },
    signal: stop.signal,
  });
  return { calls, bodies, connections };
}

test('a caller sends whole requests, split in head or body, on one connection', async (t) => {
  const { calls, bodies, connections } = await runAgainst(t, (_, response) => {
    response.write('a');
    response.end('b');
  });
  t.is(connections, 1);
  t.deepEqual(
    bodies,
    calls.map(({ attemptId }) => attemptId),
  );
  t.true(calls.every(({ status, complete }) => status === 200 && complete));
  t.deepEqual(
    calls.map(({ responseAttemptId }) => responseAttemptId),
    bodies,
  );
  t.deepEqual(
    calls.map(({ reused }) => reused),
    calls.map((_, index) => index > 0),
  );
  t.true(calls.some(({ headMs }) => headMs > 0));
  t.true(calls.some(({ bodyMs }) => bodyMs > 0));
  t.true(calls.every(({ idleMs }) => idleMs <= 0.8 * IDLE_TIMEOUT_MS));
});

test('a caller opens a new connection after Connection: close, or Keep-Alive without time', async (t) => {
  const closing = await runAgainst(t, (_, response) => {
    response.setHeader('Connection', 'close').end('a');
  });
  t.is(closing.connections, CALLS);
  const short = await runAgainst(t, (_, response) => {
    response.setHeader('Keep-Alive', 'timeout=0').end('a');
  });
  t.is(short.connections, CALLS);
  t.true(
    [...closing.calls, ...short.calls].every(({ reused, status }) => !reused && status === 200),
  );
});

test('a connection that ends without a response has no status', async (t) => {
  const { calls } = await runAgainst(t, (_, response) => response.destroy());
  t.true(calls.every(({ status, complete, left }) => status === undefined && !complete && !left));
});
