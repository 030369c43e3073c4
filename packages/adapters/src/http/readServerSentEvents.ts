import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';
import { AttemptBrokenError } from '@camphorbarrow/core';
import { classifyHttpError } from './classifyHttpError.js';

/** Maximum number of bytes since the last event: a long event, or comments. */
const MAX_BYTES_BETWEEN_EVENTS = 1_048_576;

/**
 * Yields the server-sent events of a response, `error` events included.
 *
 * @throws AttemptBrokenError or ProgressTimeoutError when the connection breaks; the former also when
 * too many bytes arrive without an event
 */
export async function* readServerSentEvents(
  body: AsyncIterable<Buffer>,
): AsyncGenerator<EventSourceMessage, void> {
  const ready: EventSourceMessage[] = [];
  const parser = createParser({ onEvent: (event) => ready.push(event) });
  const decoder = new TextDecoder();
  let bytesSinceEvent = 0;
  try {
    for await (const chunk of body) {
      parser.feed(decoder.decode(chunk, { stream: true }));
      bytesSinceEvent = ready.length > 0 ? 0 : bytesSinceEvent + chunk.length;
      yield* ready.splice(0);
      if (bytesSinceEvent > MAX_BYTES_BETWEEN_EVENTS) {
        throw new AttemptBrokenError(
          `More than ${MAX_BYTES_BETWEEN_EVENTS} bytes arrived without an event.`,
        );
      }
    }
  } catch (cause) {
    throw classifyHttpError(cause);
  }
}
