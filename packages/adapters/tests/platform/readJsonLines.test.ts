import test from 'ava';
import { readJsonLines } from '../../src/index.js';

async function* toChunks(texts: Iterable<string>): AsyncGenerator<Buffer, void> {
  for (const text of texts) {
    yield Buffer.from(text);
  }
}

test('lines are read whatever the chunks that they arrive in', async (t) => {
  const values: unknown[] = [];
  for await (const value of readJsonLines(toChunks(['{"a"', ':1}\n\n[2', ']\n3\n4']))) {
    values.push(value);
  }
  t.deepEqual(values, [{ a: 1 }, [2], 3]);
});

// A response without end was kept until the process ran out of memory.
test('a line without end is given up', async (t) => {
  let chunkCount = 0;
  function* endless(): Generator<string, void> {
    for (;;) {
      chunkCount += 1;
      yield 'x'.repeat(1_048_576);
    }
  }
  await t.throwsAsync(readJsonLines(toChunks(endless())).next(), { name: 'AttemptBrokenError' });
  t.is(chunkCount, 17);
});
