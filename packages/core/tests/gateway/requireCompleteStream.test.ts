import test from 'ava';
import { TruncatedStreamError } from '../../src/errors/TruncatedStreamError.js';
import { requireCompleteStream } from '../../src/gateway/requireCompleteStream.js';

async function* from(events: readonly string[]): AsyncGenerator<string, void> {
  yield* events;
}

async function collect(events: readonly string[]): Promise<string[]> {
  const seen: string[] = [];
  for await (const event of requireCompleteStream(from(events))) {
    seen.push(event);
  }
  return seen;
}

const last = '{"choices":[{"finish_reason":"stop"}]}';

test('a whole stream passes unchanged', async (t) => {
  t.deepEqual(await collect(['{}', last, '[DONE]']), ['{}', last, '[DONE]']);
});

test('a stream without [DONE], or without finish_reason, is not taken for a whole one', async (t) => {
  await t.throwsAsync(collect(['{}', last]), { instanceOf: TruncatedStreamError });
  await t.throwsAsync(collect(['{"choices":[{"finish_reason":null}]}', '[DONE]']), {
    instanceOf: TruncatedStreamError,
  });
});
