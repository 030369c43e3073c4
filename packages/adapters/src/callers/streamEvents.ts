import type { ServerResponse } from 'node:http';
import { once } from 'node:events';
import { EVENT_STREAM_HEADERS } from './eventStreamHeaders.js';
import { toErrorBody } from './toErrorBody.js';

/**
 * Writes server-sent events with backpressure. A failure in the middle of the stream is sent as an
 * `error` event without `[DONE]`, so that a caller never takes a partial response for a complete
 * one.
 */
export async function streamEvents(
  response: ServerResponse,
  events: AsyncIterable<string>,
  signal: AbortSignal,
): Promise<void> {
  if (!response.headersSent) {
    response.writeHead(200, EVENT_STREAM_HEADERS);
  }
  try {
    for await (const data of events) {
      if (!response.write(`data: ${data}\n\n`)) {
        await once(response, 'drain', { signal });
      }
    }
  } catch (error) {
    if (!signal.aborted) {
      response.write(`event: error\ndata: ${JSON.stringify(toErrorBody(error).body)}\n\n`);
    }
  } finally {
    response.end();
  }
}
