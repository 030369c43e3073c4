import test from 'ava';
import fc from 'fast-check';
import { createBodyMemory, createBodyScope, withBodyScope } from '../../src/index.js';
import type { BodyBuffer, BodyMemory } from '../../src/index.js';

const open = (
  memory: BodyMemory,
  maxBytes = 1_000,
  onEvicted = (): void => undefined,
): BodyBuffer => memory.open({ maxBytes, onEvicted });

test('the bytes of a body are those of its chunks, whatever their sizes', (t) => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 40 })), (chunks) => {
      const body = open(createBodyMemory(100_000), 100_000);
      chunks.forEach((chunk) => body.append(Buffer.from(chunk)));
      t.deepEqual(body.complete(), Buffer.concat(chunks));
    }),
  );
});

test('the bytes of a large body stay when it is complete, and when it has been released', (t) => {
  const memory = createBodyMemory(10_000_000);
  const sent = Buffer.from(Array.from({ length: 1_000_001 }, (_, index) => index % 251));
  const body = open(memory, 2_000_000);
  for (let start = 0; start < sent.length; start += 50_000) {
    t.is(body.append(sent.subarray(start, start + 50_000)), 'kept');
  }
  t.true(body.bytes().equals(sent));
  const complete = body.complete();
  t.is(memory.heldBytes(), sent.length);
  body.release();
  t.is(memory.heldBytes(), 0);
  t.true(complete.equals(sent));
});

test('bytes can be taken from the start while others arrive', (t) => {
  const body = open(createBodyMemory(1_000));
  body.append(Buffer.from('abc'));
  t.is(body.take(2).toString(), 'ab');
  body.append(Buffer.from('de'));
  t.is(body.bytes().toString(), 'cde');
  t.is(body.sizeBytes(), 3);
});

test('a body is released when it exceeds its limit', (t) => {
  const memory = createBodyMemory(1_000);
  const body = open(memory, 10);
  t.is(body.append(Buffer.alloc(10)), 'kept');
  t.is(body.append(Buffer.alloc(1)), 'too-long');
  t.is(memory.heldBytes(), 0);
});

// A single body without end must not take the memory from the bodies of sound senders.
test('the largest incomplete body makes room for others', (t) => {
  const evictedSizes: number[] = [];
  const memory = createBodyMemory(1_000, (sizeBytes) => evictedSizes.push(sizeBytes));
  const evicted: string[] = [];
  const large = open(memory, 1_000, () => evicted.push('large'));
  const small = open(memory, 1_000, () => evicted.push('small'));
  large.append(Buffer.alloc(700));
  small.append(Buffer.alloc(200));
  t.is(open(memory).append(Buffer.alloc(300)), 'kept');
  t.deepEqual(evicted, ['large']);
  t.deepEqual(evictedSizes, [700]);
  t.is(large.append(Buffer.alloc(1)), 'no-memory');
  t.is(memory.heldBytes(), 500);
});

test('the largest incomplete body gets no more memory itself', (t) => {
  const memory = createBodyMemory(1_000);
  const others = [open(memory), open(memory)];
  others.forEach((body) => body.append(Buffer.alloc(300)));
  const large = open(memory);
  t.is(large.append(Buffer.alloc(400)), 'kept');
  t.is(large.append(Buffer.alloc(1)), 'no-memory');
  t.is(memory.heldBytes(), 600);
});

test('a complete body is not evicted, and a new one is rejected without room', (t) => {
  const memory = createBodyMemory(1_000);
  const complete = open(memory, 1_000, () => t.fail());
  complete.append(Buffer.alloc(900));
  complete.complete();
  t.is(open(memory).append(Buffer.alloc(200)), 'no-memory');
  complete.release();
  complete.release();
  t.is(memory.heldBytes(), 0);
  t.is(open(memory).append(Buffer.alloc(200)), 'kept');
});

test('the bodies of a scope are released together, also after an exception', async (t) => {
  const memory = createBodyMemory(1_000);
  const scope = createBodyScope(memory);
  const options = { maxBytes: 1_000, onEvicted: () => undefined };
  scope.open(options).append(Buffer.alloc(100));
  scope.open(options).append(Buffer.alloc(100));
  scope.release();
  t.is(memory.heldBytes(), 0);
  const failing = withBodyScope(memory, async (bodies) => {
    bodies.open(options).append(Buffer.alloc(100));
    throw new Error('unexpected');
  });
  await t.throwsAsync(failing, { message: 'unexpected' });
  t.is(memory.heldBytes(), 0);
});
