import { TruncatedStreamError } from '../errors/TruncatedStreamError.js';

const DONE = '[DONE]';
const FINISH_REASON = /"finish_reason"\s*:\s*"/;

/**
 * Passes a stream's events on and checks that it is whole.
 *
 * @throws TruncatedStreamError when the stream ends without a `finish_reason` or without `[DONE]`
 */
export async function* requireCompleteStream(
  events: AsyncIterable<string>,
): AsyncGenerator<string, void> {
  let finished = false;
  for await (const data of events) {
    finished ||= FINISH_REASON.test(data);
    if (data === DONE) {
      if (!finished) {
        break;
      }
      yield data;
      return;
    }
    yield data;
  }
  throw new TruncatedStreamError('The stream ended before the answer was complete.');
}
