import type { ServerResponse } from 'node:http';
import { EVENT_STREAM_HEADERS } from '../callers/eventStreamHeaders.js';

const INTERVAL_MS = 2_000;

/**
 * Sends comments while a request waits for its first event, so that the forwarding entry host can
 * distinguish a waiting request from an unresponsive connection. Returns a function that stops the
 * comments.
 */
export function keepStreamAlive(response: ServerResponse): () => void {
  const timer = setInterval(() => {
    if (!response.headersSent) {
      response.writeHead(200, EVENT_STREAM_HEADERS);
    }
    response.write(': waiting\n\n');
  }, INTERVAL_MS);
  return () => clearInterval(timer);
}
