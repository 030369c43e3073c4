import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';
import { classifyHttpError } from '../http/classifyHttpError.js';

/** Yields the server-sent events of a forwarded request, errors included. */
export async function* readForwardEvents(
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
