import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../ports/Clock.js';
import { runAfterPoll } from '../time/runAfterPoll.js';

/**
 * Time for which an idle connection stays open beyond the announced idle time, for requests that
 * were sent in time.
 */
const TRANSIT_MARGIN_MS = 500;
/** Time between two timeouts of a socket without activity, as a share of the timeout. */
const MAX_TIMER_RATIO = 1.5;
const REQUEST_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

const statusLines: Readonly<Record<string, string>> = {
  [REQUEST_TIMEOUT_CODE]: '408 Request Timeout',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
};

/** Why a server closed a connection, other than after a response. */
export type ConnectionClose =
  | {
      readonly cause: 'idle';
      readonly idleMs: number;
      /** How late the timer of the connection ran. */
      readonly delayMs: number;
    }
  | { readonly cause: 'late-request' | 'malformed' | 'limit' | 'unread-response' };

export interface ConnectionErrorOptions {
  readonly clock: Clock;
  readonly onClose?: (close: ConnectionClose) => void;
  /**
   * Whether responses that nobody reads have to give up their memory. Until then a client may pause
   * for as long as it likes.
   */
  readonly isMemoryShort: () => boolean;
}

/** A request and its response. */
interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

interface Connection {
  /** Requests whose response has not ended. */
  pendingRequests: number;
  latest: Exchange | undefined;
  /** Time at which the latest response ended, and the bytes received until then. */
  idleSinceMs: number;
  bytesReadBeforeIdle: number;
  /** When the idle time was last over while the client took nothing of a response. */
  unread: { readonly atMs: number; readonly takenBytes: number } | undefined;
  /** Error after which the connection is closed once its responses have ended. */
  errorCode: string | undefined;
}

const isComplete = (exchange: Exchange | undefined): boolean => exchange?.request.complete ?? true;

/**
 * Closes idle and faulty connections of a server. A timeout counts only after the sockets have been
 * read: the process may have stood still while a request arrived.
 */
export function handleConnectionErrors(
  server: Server,
  { clock, onClose = () => undefined, isMemoryShort }: ConnectionErrorOptions,
): void {
  const connections = new WeakMap<Socket, Connection>();

  function connectionOf(socket: Socket): Connection {
    const connection = connections.get(socket) ?? {
      pendingRequests: 0,
      latest: undefined,
      idleSinceMs: clock.monotonicMs(),
      bytesReadBeforeIdle: 0,
      unread: undefined,
      errorCode: undefined,
    };
    connections.set(socket, connection);
    return connection;
  }

  /** Sends an error response, unless it could be taken for the response to an earlier request. */
  function closeAfterError(socket: Socket, connection: Connection): void {
    const { errorCode, latest, pendingRequests } = connection;
    const unfinishedRequests = isComplete(latest) ? 0 : 1;
    if (errorCode === undefined || pendingRequests > unfinishedRequests || socket.destroyed) {
      return;
    }
    const isSending = pendingRequests > 0 && latest?.response.headersSent === true;
    if (socket.writable && !isSending) {
      const statusLine = statusLines[errorCode] ?? '400 Bad Request';
      onClose({ cause: errorCode === REQUEST_TIMEOUT_CODE ? 'late-request' : 'malformed' });
      socket.write(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    }
    socket.destroySoon();
  }

  const idleLimitMs = (): number => server.keepAliveTimeout + TRANSIT_MARGIN_MS;

  /**
   * Closes the connection of a client that takes nothing of a response for twice the idle time. The
   * system takes more only when much of its buffer is free, which a slow reader reaches seldom.
   */
  function closeIfUnread(socket: Socket, connection: Connection): void {
    const atMs = clock.monotonicMs();
    const takenBytes = socket.bytesWritten - socket.writableLength;
    const { unread } = connection;
    // Parts of a write don't show in the bytes, but the timer starts again with each of them.
    const isStill =
      unread?.takenBytes === takenBytes && atMs < unread.atMs + idleLimitMs() * MAX_TIMER_RATIO;
    if (socket.writableLength > 0 && isStill && isMemoryShort()) {
      onClose({ cause: 'unread-response' });
      socket.destroy();
      return;
    }
    // Once is not enough: after a pause of the process, the system has had nothing to send.
    connection.unread = socket.writableLength > 0 ? { atMs, takenBytes } : undefined;
    socket.setTimeout(idleLimitMs());
  }

  function closeIfIdle(socket: Socket, timeoutMs: number): void {
    const connection = connectionOf(socket);
    if (socket.destroyed) {
      return;
    }
    if (connection.pendingRequests > 0) {
      closeIfUnread(socket, connection);
      return;
    }
    if (socket.bytesRead > connection.bytesReadBeforeIdle) {
      // A request has begun; the time limit for its head applies.
      connection.bytesReadBeforeIdle = socket.bytesRead;
      socket.setTimeout(server.headersTimeout + TRANSIT_MARGIN_MS);
      return;
    }
    const idleMs = clock.monotonicMs() - connection.idleSinceMs;
    const remainingMs = idleLimitMs() - idleMs;
    if (remainingMs > 0) {
      socket.setTimeout(remainingMs);
      return;
    }
    onClose({ cause: 'idle', idleMs, delayMs: idleMs - timeoutMs });
    socket.destroy();
  }

  server.on('request', (request, response) => {
    const { socket } = request;
    const connection = connectionOf(socket);
    connection.latest = { request, response };
    connection.pendingRequests += 1;
    // A late head can still be completed while an earlier response is in progress.
    connection.errorCode = undefined;
    socket.setTimeout(idleLimitMs());
    response.once('close', () => {
      connection.unread = undefined;
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

  server.on('drop', () => onClose({ cause: 'limit' }));

  server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket;
    if (socket.readableEnded) {
      // The client has left within a request, and nobody reads a response.
      socket.destroy();
      return;
    }
    const connection = connectionOf(socket);
    const { latest } = connection;
    const wasComplete = isComplete(latest);
    const errorCode = error.code ?? '';
    const fail = (): void => {
      if (connection.latest === latest && isComplete(latest) === wasComplete) {
        connection.errorCode ??= errorCode;
        closeAfterError(socket, connection);
      }
    };
    if (errorCode === REQUEST_TIMEOUT_CODE) {
      runAfterPoll(fail);
    } else {
      fail();
    }
  });
}
