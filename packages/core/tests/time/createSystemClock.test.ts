import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createDeadlineSignal } from '../../src/gateway/createDeadlineSignal.js';
import { createSystemClock } from '../../src/time/createSystemClock.js';

const DURATION_MS = 100;
const clock = createSystemClock();

/** Resolves when input is read that arrived just before the process was blocked. */
async function readAfterPause(t: ExecutionContext): Promise<'read'> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const sender = connect((server.address() as AddressInfo).port, '127.0.0.1');
  t.teardown(() => {
    sender.destroy();
    server.close();
  });
  const [receiver] = (await once(server, 'connection')) as [Socket];
  sender.write('x');
  const endMs = performance.now() + 2 * DURATION_MS;
  while (performance.now() < endMs) {
    // The process does nothing else meanwhile.
  }
  await once(receiver, 'data');
  receiver.destroy();
  return 'read';
}

test.serial('input that arrived in time is read before the end of a sleep', async (t) => {
  const sleep = clock.sleep(DURATION_MS).then(() => 'elapsed');
  t.is(await Promise.race([readAfterPause(t), sleep]), 'read');
});

test.serial('a response that arrived in time is read before a deadline ends', async (t) => {
  const never = new AbortController().signal;
  const { signal } = createDeadlineSignal(clock, never, clock.monotonicMs() + DURATION_MS);
  const expiry = once(signal, 'abort').then(() => 'elapsed');
  t.is(await Promise.race([readAfterPause(t), expiry]), 'read');
});

test.serial('an aborted sleep rejects', async (t) => {
  const controller = new AbortController();
  const sleep = clock.sleep(60_000, controller.signal);
  controller.abort();
  await t.throwsAsync(sleep, { name: 'AbortError' });
});

test.serial('a sleep that is aborted when its time is over rejects', async (t) => {
  const controller = new AbortController();
  const sleep = clock.sleep(1, controller.signal);
  setTimeout(() => controller.abort(), 1);
  await t.throwsAsync(sleep, { name: 'AbortError' });
});
