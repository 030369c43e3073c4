import test from 'ava';
import { readText } from '../../src/index.js';

const MAX_RESPONSE_BYTES = 8_388_608;

async function* repeat(chunk: Buffer, count: number): AsyncGenerator<Buffer, void> {
  for (let index = 0; index < count; index += 1) {
    yield chunk;
  }
}

test('a response in short chunks is read whole', async (t) => {
  t.is(await readText(repeat(Buffer.from('ab'), 10_000)), 'ab'.repeat(10_000));
});

test('a response of the maximum length is read, and a longer one given up', async (t) => {
  const chunk = Buffer.alloc(65_536, 'x');
  const count = MAX_RESPONSE_BYTES / chunk.length;
  t.is((await readText(repeat(chunk, count))).length, MAX_RESPONSE_BYTES);
  await t.throwsAsync(readText(repeat(chunk, count + 1)), { name: 'AttemptBrokenError' });
});
