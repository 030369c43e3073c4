import test from 'ava';
import { TruncatedStreamError } from '../../src/errors/TruncatedStreamError.js';
import { requireCompleteStream } from '../../src/gateway/requireCompleteStream.js';

async function* streamOf(events: readonly string[]): AsyncGenerator<string, void> {
  yield* events;
}

async function collect(events: readonly string[]): Promise<string[]> {
  const received: string[] = [];
  for await (const event of requireCompleteStream(streamOf(events))) {
    received.push(event);
  }
  return received;
}

const lastEvent = '{"choices":[{"finish_reason":"stop"}]}';

test('a complete stream is forwarded unchanged', async (t) => {
  t.deepEqual(await collect(['{}', lastEvent, '[DONE]']), ['{}', lastEvent, '[DONE]']);
});

test('a stream without [DONE] or without finish_reason is rejected as truncated', async (t) => {
  await t.throwsAsync(collect(['{}', lastEvent]), { instanceOf: TruncatedStreamError });
  await t.throwsAsync(collect(['{"choices":[{"finish_reason":null}]}', '[DONE]']), {
    instanceOf: TruncatedStreamError,
  });
});
