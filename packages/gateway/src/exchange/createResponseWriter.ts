import type { ServerResponse } from 'node:http';
import { createDisconnectSignal } from '@camphorbarrow/core';
import type { ResponseWriter } from './ResponseWriter.js';
import { resetUnlessComplete } from './resetUnlessComplete.js';

const CHUNK_END = Buffer.from('\r\n');
const LAST_CHUNK = Buffer.from('0\r\n\r\n');

const frameChunk = (chunk: Buffer): Buffer =>
  Buffer.concat([Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, CHUNK_END]);

/**
 * Creates the writer of one HTTP response.
 *
 * @param shouldCloseConnection whether to ask the client to close the connection after the response
 * @param readRemainingInput reads the rest of the request; undefined if it was read. A response that
 *   is sent at once ends after it, because its end may close the connection
 */
export function createResponseWriter(
  response: ServerResponse,
  shouldCloseConnection: () => boolean,
  readRemainingInput: () => Promise<void> | undefined = () => undefined,
): ResponseWriter {
  const disconnected = createDisconnectSignal(response);
  // The disconnect signal handles the close event that follows.
  response.on('error', () => undefined);

  const withConnectionHeader = (headers: readonly string[]): string[] =>
    shouldCloseConnection() ? [...headers, 'Connection', 'close'] : [...headers];
  const isOpen = (): boolean => !disconnected.aborted && !response.destroyed;
  /** Whether the response is framed in chunks, which this writer does. */
  let isChunked = false;

  return {
    disconnected,
    isStarted: () => response.headersSent,
    send(status, headers, body) {
      if (!isOpen()) {
        return;
      }
      response.writeHead(status, [
        ...withConnectionHeader(headers),
        'Content-Length',
        String(body.length),
      ]);
      const inputRead = readRemainingInput();
      if (inputRead === undefined) {
        response.end(body);
        return;
      }
      // Otherwise the head of a response without a body would wait for the end.
      response.flushHeaders();
      response.write(body);
      void inputRead.then(() => response.end());
    },
    writeHead(status, headers) {
      if (isOpen()) {
        // The head is sent with the first bytes of the body, or with its end.
        response.writeHead(status, withConnectionHeader(headers));
        // Node.js writes a chunk in four parts.
        isChunked = response.chunkedEncoding;
        response.chunkedEncoding = false;
        if (!isChunked) {
          resetUnlessComplete(response);
        }
      }
    },
    write(chunk, signal) {
      if (
        !isOpen() ||
        chunk.length === 0 ||
        response.write(isChunked ? frameChunk(chunk) : chunk) ||
        signal.aborted
      ) {
        return undefined;
      }
      return new Promise<void>((resolve) => {
        const signals = [disconnected, signal];
        const finish = (): void => {
          response.removeListener('drain', finish);
          signals.forEach((each) => each.removeEventListener('abort', finish));
          resolve();
        };
        response.on('drain', finish);
        signals.forEach((each) => each.addEventListener('abort', finish));
      });
    },
    end() {
      if (isOpen()) {
        response.end(isChunked ? LAST_CHUNK : undefined);
      }
    },
    abort() {
      response.destroy();
    },
  };
}
