import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { startInputTimeout } from '../../src/time/startInputTimeout.js';

const TIMEOUT_MS = 50;

function blockFor(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs) {
    // The process does nothing else meanwhile.
  }
}

async function openConnection(
  t: ExecutionContext,
): Promise<{ readonly sender: Socket; readonly receiver: Socket }> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const sender = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const [receiver] = (await once(server, 'connection')) as [Socket];
  t.teardown(() => {
    sender.destroy();
    receiver.destroy();
    server.close();
  });
  return { sender, receiver };
}

test('input that arrived while the process was blocked closes the timeout', async (t) => {
  const { sender, receiver } = await openConnection(t);
  let elapsed = false;
  const timeout = startInputTimeout(TIMEOUT_MS, () => {
    elapsed = true;
  });
  const received = once(receiver, 'data').then(() => timeout.close());
  sender.write('x');
  blockFor(2 * TIMEOUT_MS);
  await received;
  await sleep(2 * TIMEOUT_MS);
  t.false(elapsed);
});

test('a timeout without input elapses once', async (t) => {
  let count = 0;
  // A sleep of fixed length can end in the same turn of the event loop as the timer.
  await new Promise<void>((resolve) => {
    startInputTimeout(TIMEOUT_MS, () => {
      count += 1;
      resolve();
    });
  });
  await sleep(4 * TIMEOUT_MS);
  t.is(count, 1);
});

test('a timeout that was closed does not elapse', async (t) => {
  let count = 0;
  const timeout = startInputTimeout(TIMEOUT_MS, () => {
    count += 1;
  });
  timeout.close();
  await sleep(4 * TIMEOUT_MS);
  t.is(count, 0);
});
