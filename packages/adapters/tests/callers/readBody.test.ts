import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createSystemClock } from '@camphorbarrow/core';
import { readBody } from '../../src/callers/readBody.js';
import { blockFor } from '../support/blockFor.js';

const BODY_TIMEOUT_MS = 300;
const clock = createSystemClock();
const LIMITS = { maxBodyBytes: 67_108_864, bodyTimeoutMs: BODY_TIMEOUT_MS };

/** Sends the head of a request, and returns the request as the server received it. */
async function sendHead(
  t: ExecutionContext,
  bodyBytes: number,
): Promise<{ readonly sender: Socket; readonly request: IncomingMessage }> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const sender = connect((server.address() as AddressInfo).port, '127.0.0.1');
  t.teardown(() => {
    sender.destroy();
    server.close();
  });
  sender.write(`POST / HTTP/1.1\r\nhost: x\r\ncontent-length: ${bodyBytes}\r\n\r\n`);
  const [request] = (await once(server, 'request')) as [IncomingMessage];
  return { sender, request };
}

test.serial(
  'a body that arrived in time is not rejected when the process was blocked',
  async (t) => {
    const { sender, request } = await sendHead(t, 2);
    const body = readBody(request, '2', LIMITS, clock);
    sender.write('ok');
    blockFor(2 * BODY_TIMEOUT_MS);
    t.is(await body, 'ok');
  },
);

test.serial('a body that does not arrive is rejected', async (t) => {
  const { sender, request } = await sendHead(t, 2);
  const body = readBody(request, '2', LIMITS, clock);
  sender.write('o');
  await t.throwsAsync(body, { name: 'BodyTimeoutError' });
});

test.serial('a body that arrives slowly is rejected after its time limit', async (t) => {
  const { sender, request } = await sendHead(t, 1_000);
  const body = readBody(request, '1000', LIMITS, clock).catch((error: Error) => error.name);
  const timer = setInterval(() => sender.write('x'), 10);
  t.teardown(() => clearInterval(timer));
  t.is(await Promise.race([body, sleep(3 * BODY_TIMEOUT_MS, 'late')]), 'BodyTimeoutError');
});

// The sender can hand over only what fits into the buffers of the sockets while nobody reads.
test.serial('the time for which the process was blocked is not counted', async (t) => {
  const bodyBytes = 12_582_912;
  const { sender, request } = await sendHead(t, bodyBytes);
  const body = readBody(request, String(bodyBytes), LIMITS, clock);
  sender.write(Buffer.alloc(bodyBytes, 'x'));
  blockFor(3 * BODY_TIMEOUT_MS);
  t.is((await body).length, bodyBytes);
});
