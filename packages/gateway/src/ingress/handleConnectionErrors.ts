import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock, LogSink, MetricsSink } from '@camphorbarrow/core';

/** Delay of a timer from which the close that it causes is logged. */
const LOGGED_DELAY_MS = 100;
const HEAD_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

const statusLines: Readonly<Record<string, string>> = {
  [HEAD_TIMEOUT_CODE]: '408 Request Timeout',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
};

export interface ConnectionErrorOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  /** Name of the listener in metrics. */
  readonly name: string;
}

/** Closes idle and faulty connections of a server, and counts closed connections by cause. */
export function handleConnectionErrors(server: Server, options: ConnectionErrorOptions): void {
  const { clock, log, metrics, name } = options;
  /** Time at which the latest response of a connection ended. */
  const idleSinceMs = new WeakMap<Socket, number>();
  /** Latest response of a connection. */
  const responses = new WeakMap<Socket, ServerResponse>();

  const count = (cause: string): void =>
    metrics.increment('connections_closed', { listener: name, cause });

  server.on('request', ({ socket }, response) => {
    responses.set(socket, response);
    response.once('close', () => idleSinceMs.set(socket, clock.monotonicMs()));
  });
  server.on('timeout', (socket) => {
    const idleMs = clock.monotonicMs() - (idleSinceMs.get(socket) ?? clock.monotonicMs());
    const delayMs = idleMs - (socket.timeout ?? 0);
    const isDelayed = delayMs >= LOGGED_DELAY_MS;
    count(isDelayed ? 'idle-delayed' : 'idle');
    if (isDelayed) {
      log.warn('idle-connection-closed', {
        listener: name,
        idleMs: Math.round(idleMs),
        delayMs: Math.round(delayMs),
      });
    }
    socket.destroy();
  });
  server.on('drop', () => count('limit'));
  server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket;
    const code = error.code ?? '';
    const response = responses.get(socket);
    // Bytes within the response of another request would spoil it.
    const isSending = response?.headersSent === true && !response.writableFinished;
    if (socket.writable && !isSending) {
      const statusLine = statusLines[code] ?? '400 Bad Request';
      count(code === HEAD_TIMEOUT_CODE ? 'head-timeout' : 'malformed');
      socket.write(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    }
    socket.destroySoon();
  });
}
