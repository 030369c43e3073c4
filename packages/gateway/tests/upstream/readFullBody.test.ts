import { IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { readFullBody } from '../../src/index.js';

const never = new AbortController().signal;

const readWithin = (
  message: IncomingMessage,
  signal = never,
): Promise<Buffer | undefined | 'pending'> =>
  Promise.race([readFullBody(message, 1_000, signal), sleep(500, 'pending' as const)]);

test('reading a body that was destroyed before ends', async (t) => {
  const message = new IncomingMessage(new Socket());
  message.on('error', () => undefined);
  message.destroy();
  await nextTurn();
  t.is(await readWithin(message), undefined);
});

test('reading a body ends when it is aborted', async (t) => {
  const message = new IncomingMessage(new Socket());
  t.is(await readWithin(message, AbortSignal.timeout(50)), undefined);
  t.true(message.destroyed);
});
