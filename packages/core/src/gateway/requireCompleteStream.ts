import { TruncatedStreamError } from '../errors/TruncatedStreamError.js';

const DONE = '[DONE]';
const FINISH_REASON = /"finish_reason"\s*:\s*"/;

/**
 * Forwards the events of a stream and verifies that the stream is complete.
 *
 * @throws TruncatedStreamError when the stream ends without a `finish_reason` or without `[DONE]`
 */
export async function* requireCompleteStream(
  events: AsyncIterable<string>,
): AsyncGenerator<string, void> {
  let isFinished = false;
  for await (const data of events) {
    isFinished ||= FINISH_REASON.test(data);
    if (data === DONE) {
      if (!isFinished) {
        break;
      }
      yield data;
      return;
    }
    yield data;
  }
  throw new TruncatedStreamError('The stream ended before the response was complete.');
}
