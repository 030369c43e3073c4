import { IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { createBodyMemory } from '@camphorbarrow/core';
import type { BodyMemory } from '@camphorbarrow/core';
import { readFullBody } from '../../src/index.js';
import type { FullBody } from '../../src/index.js';

const never = new AbortController().signal;

const readWithin = (
  message: IncomingMessage,
  signal = never,
  bodies: BodyMemory = createBodyMemory(10_000),
): Promise<FullBody | 'pending'> =>
  Promise.race([
    readFullBody(message, { bodies, maxBytes: 1_000, signal }),
    sleep(500, 'pending' as const),
  ]);

function createMessage(): IncomingMessage {
  const message = new IncomingMessage(new Socket());
  message.on('error', () => undefined);
  return message;
}

test('reading a body that was destroyed before ends', async (t) => {
  const message = createMessage();
  message.destroy();
  await nextTurn();
  t.deepEqual(await readWithin(message), { kind: 'broken' });
});

test('reading a body ends when it is aborted', async (t) => {
  const message = createMessage();
  t.deepEqual(await readWithin(message, AbortSignal.timeout(50)), { kind: 'aborted' });
  t.true(message.destroyed);
});

test('a body that exceeds its limit is given up, and its memory released', async (t) => {
  const message = createMessage();
  const bodies = createBodyMemory(10_000);
  const body = readWithin(message, never, bodies);
  message.push(Buffer.alloc(900));
  message.push(Buffer.alloc(101));
  t.deepEqual(await body, { kind: 'too-long' });
  t.true(message.destroyed);
  t.is(bodies.heldBytes(), 0);
});

test('a body that is evicted for another one is given up', async (t) => {
  const message = createMessage();
  const bodies = createBodyMemory(1_000);
  const body = readWithin(message, never, bodies);
  message.push(Buffer.alloc(900));
  await nextTurn();
  const other = bodies.open({ maxBytes: 1_000, onEvicted: () => undefined });
  t.is(other.append(Buffer.alloc(200)), 'kept');
  t.deepEqual(await body, { kind: 'no-memory' });
  t.true(message.destroyed);
});

test('the bytes of a complete body are held until they are released', async (t) => {
  const message = createMessage();
  const bodies = createBodyMemory(10_000);
  const body = readWithin(message, never, bodies);
  message.push('a');
  message.push('bc');
  message.complete = true;
  message.push(null);
  t.deepEqual(await body, { kind: 'complete', bytes: Buffer.from('abc') });
  t.true(bodies.heldBytes() >= 3);
});
