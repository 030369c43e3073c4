import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { runAfterPoll } from '@camphorbarrow/core';
import type { Clock, LogSink, MetricsSink } from '@camphorbarrow/core';

/**
 * Time for which an idle connection stays open beyond the announced idle time, for requests that
 * were sent in time.
 */
const TRANSIT_MARGIN_MS = 500;
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

interface Connection {
  /** Requests whose response has not ended. */
  pendingRequests: number;
  /** Requests so far. */
  requestCount: number;
  /** Time at which the latest response ended, and the bytes received until then. */
  idleSinceMs: number;
  bytesReadBeforeIdle: number;
  /** Error after which the connection is closed once its responses have ended. */
  errorCode: string | undefined;
}

/**
 * Closes idle and faulty connections of a server, and counts closed connections by cause. A timeout
 * counts only after the sockets have been read: the host may have stood still while a request
 * arrived.
 */
export function handleConnectionErrors(server: Server, options: ConnectionErrorOptions): void {
  const { clock, log, metrics, name } = options;
  const connections = new WeakMap<Socket, Connection>();

  const count = (cause: string): void =>
    metrics.increment('connections_closed', { listener: name, cause });

  function connectionOf(socket: Socket): Connection {
    const connection = connections.get(socket) ?? {
      pendingRequests: 0,
      requestCount: 0,
      idleSinceMs: clock.monotonicMs(),
      bytesReadBeforeIdle: 0,
      errorCode: undefined,
    };
    connections.set(socket, connection);
    return connection;
  }

  /** Sends an error response, unless it could be taken for the response to an earlier request. */
  function closeAfterError(socket: Socket, connection: Connection): void {
    const { errorCode } = connection;
    if (errorCode === undefined || connection.pendingRequests > 0 || socket.destroyed) {
      return;
    }
    if (socket.writable) {
      const statusLine = statusLines[errorCode] ?? '400 Bad Request';
      count(errorCode === HEAD_TIMEOUT_CODE ? 'head-timeout' : 'malformed');
      socket.write(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    }
    socket.destroySoon();
  }

  function closeIfIdle(socket: Socket, timeoutMs: number): void {
    const connection = connectionOf(socket);
    if (socket.destroyed || connection.pendingRequests > 0) {
      return;
    }
    if (socket.bytesRead > connection.bytesReadBeforeIdle) {
      // A request has begun; the time limit for its head applies.
      connection.bytesReadBeforeIdle = socket.bytesRead;
      socket.setTimeout(server.headersTimeout + TRANSIT_MARGIN_MS);
      return;
    }
    const idleMs = clock.monotonicMs() - connection.idleSinceMs;
    const remainingMs = server.keepAliveTimeout + TRANSIT_MARGIN_MS - idleMs;
    if (remainingMs > 0) {
      socket.setTimeout(remainingMs);
      return;
    }
    const delayMs = idleMs - timeoutMs;
    const isDelayed = delayMs >= LOGGED_DELAY_MS;
    count(isDelayed ? 'idle-delayed' : 'idle');
    if (isDelayed) {
      log.info('idle-connection-closed', {
        listener: name,
        idleMs: Math.round(idleMs),
        delayMs: Math.round(delayMs),
      });
    }
    socket.destroy();
  }

  server.on('request', ({ socket }, response) => {
    const connection = connectionOf(socket);
    connection.requestCount += 1;
    // A late head can still be completed while an earlier response is in progress.
    connection.errorCode = undefined;
    connection.pendingRequests += 1;
    response.once('close', () => {
      connection.pendingRequests -= 1;
      connection.idleSinceMs = clock.monotonicMs();
      connection.bytesReadBeforeIdle = socket.bytesRead;
      closeAfterError(socket, connection);
    });
  });

  // Node.js closes the connection itself only if nobody listens to this event.
  server.on('timeout', (socket) => {
    const timeoutMs = socket.timeout ?? 0;
    runAfterPoll(() => closeIfIdle(socket, timeoutMs));
  });

  server.on('drop', () => count('limit'));

  server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket;
    const connection = connectionOf(socket);
    const { requestCount } = connection;
    const errorCode = error.code ?? '';
    const fail = (): void => {
      if (connection.requestCount === requestCount) {
        connection.errorCode ??= errorCode;
        closeAfterError(socket, connection);
      }
    };
    if (errorCode === HEAD_TIMEOUT_CODE) {
      runAfterPoll(fail);
    } else {
      fail();
    }
  });
}
