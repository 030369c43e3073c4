import type { ServerResponse } from 'node:http';
import type { ResponseWriter } from './ResponseWriter.js';

/**
 * Creates the sink of one HTTP answer.
 *
 * @param closesConnection whether the other end should use another connection next time
 */
export function createResponseWriter(
  response: ServerResponse,
  closesConnection: () => boolean,
): ResponseWriter {
  const left = new AbortController();
  response.on('close', () => {
    if (!response.writableFinished) {
      left.abort();
    }
  });
  // The close event follows and tells that the other end has left.
  response.on('error', () => undefined);

  const withClose = (headers: readonly string[]): string[] =>
    closesConnection() ? [...headers, 'Connection', 'close'] : [...headers];
  const isOpen = (): boolean => !left.signal.aborted && !response.destroyed;

  return {
    disconnected: left.signal,
    isStarted: () => response.headersSent,
    send(status, headers, body) {
      if (isOpen()) {
        response.writeHead(status, [...withClose(headers), 'Content-Length', String(body.length)]);
        response.end(body);
      }
    },
    writeHead(status, headers) {
      if (isOpen()) {
        response.writeHead(status, withClose(headers));
        response.flushHeaders();
      }
    },
    async write(chunk) {
      if (!isOpen() || response.write(chunk)) {
        return;
      }
      await new Promise<void>((resolve) => {
        const done = (): void => {
          response.removeListener('drain', done);
          left.signal.removeEventListener('abort', done);
          resolve();
        };
        response.on('drain', done);
        left.signal.addEventListener('abort', done);
      });
    },
    end() {
      if (isOpen()) {
        response.end();
      }
    },
    abort() {
      response.destroy();
    },
  };
}
