import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';
import { classifyHttpError } from './classifyHttpError.js';

/**
 * Yields the server-sent events of a response, `error` events included.
 *
 * @throws AttemptBrokenError or ProgressTimeoutError when the connection breaks
 */
export async function* readServerSentEvents(
  body: AsyncIterable<Buffer>,
): AsyncGenerator<EventSourceMessage, void> {
  const ready: EventSourceMessage[] = [];
  const parser = createParser({ onEvent: (event) => ready.push(event) });
  const decoder = new TextDecoder();
  try {
    for await (const chunk of body) {
      parser.feed(decoder.decode(chunk, { stream: true }));
      yield* ready.splice(0);
    }
  } catch (cause) {
    throw classifyHttpError(cause);
  }
}
